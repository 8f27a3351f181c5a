import tempfile
import tomllib
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from boragedeck.version import tables as t
from boragedeck.version.checks import check
from boragedeck.version.delta import canonical
from boragedeck.version.dump import to_toml
from boragedeck.version.files import SECTIONS, Tables, _Reader, parse, read_files
from boragedeck.version.toml_lines import TomlLines

NOW = 1_800_000_000.0
HASH = "ab" * 32

VALID_TOML = f"""\
[[organisation]]
name = "mehurcek"
key_sha256 = ["{HASH}"]

[[route]]
name = "letters"
pool = "engines"
organisations = ["mehurcek"]
version = "v2"
deadline = 2030-01-31T18:00:00Z
[route.limits]
max_tokens = 100

[[route]]
name = "dispense"
kind = "call"
pool = "kiosks"
repeatable = false

[[pool]]
name = "engines"

[[pool.upstream]]
name = "e1"
url = "http://10.0.0.1:8000"
failure_domain = "d1"
version = "v1"

[[pool.upstream]]
name = "e2"
url = "http://10.0.0.2:8000"
failure_domain = "d2"
version = "v2"

[[pool]]
name = "kiosks"
kind = "service"
[[pool.upstream]]
name = "k1"
url = "http://10.0.0.3:8000"
failure_domain = "d1"
"""


def check_text(text, base=None, now=NOW):
    tables = Tables()
    parse("t.toml", text.encode(), tables)
    return check(tables, base or t.Config(), now)


class FilesTest(unittest.TestCase):
    def assert_error(self, text, *parts, base=None):
        errors = [str(error) for error in check_text(text, base).errors]
        found = [e for e in errors if all(part in e for part in parts)]
        self.assertTrue(found, errors)
        return errors

    def change(self, old, new):
        self.assertIn(old, VALID_TOML)
        return VALID_TOML.replace(old, new, 1)

    def test_good_file(self):
        result = check_text(VALID_TOML)
        self.assertEqual(result.problems, ())
        route = result.config.route("letters")
        self.assertEqual(route.deadline, 1_896_112_800.0)
        self.assertEqual(route.limits, t.RouteLimits(max_tokens=100))
        self.assertEqual(len(result.config.pool("engines").upstreams), 2)

    def test_each_error_is_reported_with_its_place(self):
        for old, new, *parts in (
            ('pool = "engines"', 'pool = "enginse"', ":7: route[0].pool", '"engines"?'),
            ('"letters"', '"dispense"', ":15: route[1].name", "t.toml:5: route[0]"),
            ('["mehurcek"]', '["bakhoor"]', ":8:", "bakhoor"),
            (HASH, "secret", ":3: organisation[0].key_sha256", "64 digits"),
            ("http://10.0.0.1:8000", "10.0.0.1", ":25: pool[0].upstream[0].url"),
            (
                "http://10.0.0.2:8000",
                "http://10.0.0.1:8000/",
                "URL that is unique within the pool",
            ),
            ('"e2"', '"e1"', "upstream[1].name", "within the pool"),
            ("2030", "2020", ":10: route[0].deadline", "in the future"),
            ("18:00:00Z", "18:00:00", "route[0].deadline", "offset"),
            ("2030-01-31T18:00:00Z", "nan", "route[0].deadline"),
            ('version = "v2"\n', "", "route[0].deadline", "without a version"),
            ('kind = "call"', 'kind = "kall"', '"generation", "call"'),
            ('kind = "call"', "", ":17: route[1].pool", 'kind "engine"'),
            ('"dispense"', '"a/b"', "part of a URL path"),
            ("repeatable = false", 'repeatable = "no"', "true or false"),
            ("repeatable = false", 'version = "x"', "serves"),
            ("repeatable = false", "repeatble = false", '"repeatable"?'),
            ("max_tokens = 100", "max_tokens = 0", "limits.max_tokens", "at least 1"),
            ("max_tokens = 100", "deadline_s = inf", "limits.deadline_s"),
            ("max_tokens = 100", "grace_s = -1", "limits.grace_s"),
            ('name = "k1"', "weight = 1", "upstream[0].name", "nothing", "a string"),
            ('name = "k1"', 'name = "k1"\nweight = 0', "upstream[0].weight"),
            ('name = "k1"', 'name = ""', "upstream[0].name", "printable"),
            ("[[organisation]]", "[[organisations]]", 'mean "organisation"?'),
            ("[[organisation]]", "[[organisation]", "TOML"),
        ):
            with self.subTest(old=old, new=new):
                self.assert_error(self.change(old, new), *parts)

    def test_all_errors_are_reported_together(self):
        text = (
            VALID_TOML.replace(HASH, "x").replace('"v1"', "1").replace("= 100", '= "a"')
        )
        self.assertEqual(len(self.assert_error(text, "64 digits")), 3)

    def test_invalid_pool_is_not_also_reported_as_missing(self):
        text = self.change('failure_domain = "d1"', "failure_domain = 1")
        self.assertEqual(len(self.assert_error(text, "failure_domain")), 1)

    def test_key_is_never_shown(self):
        errors = self.assert_error(self.change(HASH, "secret"), "key_sha256")
        self.assertFalse([error for error in errors if "secret" in error])

    def test_key_of_another_organisation_is_refused(self):
        more = f'[[organisation]]\nname = "b"\nkey_sha256 = ["{HASH}"]\n'
        self.assert_error(VALID_TOML + more, "a key that no other organisation has")

    def test_section_missing_from_all_files_is_kept(self):
        base = check_text(VALID_TOML).config
        text = '[[organisation]]\nname = "mehurcek"\nweight = 2\n'
        config = check_text(text, base).config
        self.assertEqual(config.routes, base.routes)
        self.assertEqual(config.organisations[0].weight, 2.0)

    def test_rows_in_force_are_checked_against_the_file(self):
        base = check_text(VALID_TOML).config
        self.assert_error("pool = []", "in force", "letters", base=base)
        self.assert_error("organisation = []", "in force", "mehurcek", base=base)

    def test_unserved_version_of_an_engine_pool_is_a_warning(self):
        result = check_text(self.change('version = "v2"', 'version = "v3"'))
        self.assertEqual(result.errors, ())
        self.assertIn("load", str(result.warnings[0]))

    def test_files_of_a_finished_rollout_can_be_applied_again(self):
        base = check_text(VALID_TOML).config
        later = NOW + 1e9
        self.assertEqual(check_text(VALID_TOML, base, now=later).errors, ())
        changed = self.change('version = "v2"', 'version = "v1"')
        self.assertTrue(check_text(changed, base, now=later).errors)

    def test_unreadable_files_are_reported_by_name(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "bad.toml")
            path.write_bytes(b"\xff")
            problems = read_files([path, Path(folder, "missing.toml")]).problems
            self.assertEqual(len(problems), 2)
            path.write_bytes(b"")
            self.assertIn("no tables", str(read_files([path]).problems[0]))

    def test_line_numbers_match_the_text(self):
        lines = TomlLines(
            'a = """\n[[pool]]\n"""\n[[pool]]\n[[pool]]\n"b c" = 1\n[[pool.up]]\n'
            "[pool.x] # y\nz = {q = 1}\n"
        )
        for path, line in (
            ("a", 1),
            ("pool[0]", 4),
            ("pool[1].b c", 6),
            ("pool[1].up[0].name", 7),
            ("pool[1].x.z.q", 9),
            ("route", 0),
        ):
            self.assertEqual(lines.line(path), line, path)


names = st.text(st.characters(exclude_categories=["C"]), min_size=1, max_size=8)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "pool", "upstream", "x"]), inner)
    ),
    max_leaves=8,
)
fragments = st.lists(
    st.sampled_from(VALID_TOML.splitlines(keepends=True))
    | st.text(max_size=10)
    | st.sampled_from(['"""', "[", "]", "{", "=", "nan", "9" * 5000, "[" * 3000]),
    max_size=40,
).map("".join)


class FilesPropertyTest(unittest.TestCase):
    @given(fragments)
    def test_any_text_gives_rows_or_errors(self, text):
        result = check_text(text)
        for problem in result.problems:
            self.assertNotIn("\n", str(problem.place))
        if not result.errors:
            tomllib.loads(text)

    @given(st.binary(max_size=50))
    def test_any_bytes_give_rows_or_errors(self, body):
        tables = Tables()
        parse("t.toml", body, tables)
        check(tables, t.Config(), NOW)

    @given(st.sampled_from(sorted(SECTIONS)), st.lists(values, max_size=3))
    def test_any_values_give_rows_or_errors(self, section, raw):
        tables = Tables()
        _Reader("t.toml", TomlLines(""), tables).read({section: raw})
        result = check(tables, t.Config(), NOW)
        if not result.errors:
            self.assertTrue(all(row.value is not None for row in tables.rows))

    @given(
        st.lists(names, max_size=3),
        st.lists(
            st.builds(
                t.Route,
                name=names,
                pool=names,
                kind=st.sampled_from(t.RouteKind),
                repeatable=st.booleans(),
                organisations=st.lists(names).map(tuple),
                version=st.none() | names,
                deadline=st.none() | st.floats(allow_nan=False, allow_infinity=False),
                priority=st.sampled_from(t.Priority),
                limits=st.builds(t.RouteLimits, max_tokens=st.integers(1, 9)),
                quarantine_lifts=st.lists(st.builds(t.QuarantineLift, names)).map(
                    tuple
                ),
            ),
            max_size=3,
        ),
        st.lists(names, max_size=3),
    )
    def test_written_file_reads_back_unchanged(self, organisations, routes, pools):
        cfg = canonical(
            t.Config(
                3,
                tuple(t.Organisation(name, (HASH,), 0.1) for name in organisations),
                tuple({route.name: route for route in routes}.values()),
                tuple(
                    t.Pool(name, upstreams=(t.Upstream(name, "http://a", "d"),))
                    for name in pools
                ),
            )
        )
        tables = Tables()
        parse("t.toml", to_toml(cfg).encode(), tables)
        self.assertEqual(tables.problems, [])
        self.assertEqual(tables.revision, 3)
        rows = tuple(row.value for row in tables.rows)
        self.assertEqual(rows, cfg.organisations + cfg.routes + cfg.pools)
