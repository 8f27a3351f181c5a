import unittest

from hypothesis import given
from hypothesis import strategies as st

from boragedeck.version.delta import canonical, describe, diff, digest, patch
from boragedeck.version.tables import Config, Organisation, Pool, Route, Upstream

names = st.sampled_from("abcd")


def unique(rows):
    return st.lists(rows, max_size=4, unique_by=lambda row: row.name).map(tuple)


upstreams = unique(
    st.builds(
        Upstream,
        names,
        url=st.just("http://a"),
        failure_domain=names,
        weight=st.sampled_from([1.0, 2.0]),
        leaving=st.booleans(),
    )
)
configs = st.builds(
    Config,
    revision=st.just(1),
    organisations=unique(st.builds(Organisation, names, key_sha256=st.tuples(names))),
    routes=unique(st.builds(Route, names, pool=names)),
    pools=unique(
        st.builds(Pool, names, checks_fencing=st.booleans(), upstreams=upstreams)
    ),
).map(canonical)


class DeltaTest(unittest.TestCase):
    @given(configs, configs)
    def test_patch_applies_diff(self, old, new):
        patched = patch(old, diff(old, new), 1)
        self.assertEqual(patched, new)
        self.assertEqual(digest(patched), digest(new))

    @given(configs, configs)
    def test_every_difference_has_a_line(self, old, new):
        self.assertEqual(describe(old, new) == (), old == new)

    def test_key_hashes_are_not_described(self):
        old = Config(organisations=(Organisation("a", ("k" * 64,)),))
        new = Config(organisations=(Organisation("a"),))
        lines = describe(old, new)
        self.assertEqual(lines, ("organisation a: key_sha256 changed",))

    def test_one_upstream_is_a_small_delta(self):
        rows = tuple(Upstream(f"e{i}", "http://a", "d") for i in range(100))
        old = Config(pools=(Pool("p", upstreams=rows),))
        new = Config(pools=(Pool("p", upstreams=rows[1:]),))
        delta = diff(old, new)
        self.assertEqual(delta.removed_upstreams, (("p", "e0"),))
        self.assertEqual((delta.pools, delta.upstreams), ((), ()))
