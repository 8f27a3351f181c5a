import ast
import re
import unittest
from pathlib import Path

from soak.disruptions import Row

PAGE = Path("docs/FAULTS.md")
DAYS = Path("deploy/days")
NAME = re.compile(r"`([\w.]+)`")
DAY_LIST = re.compile(r"\bdays? ((?:`[\w-]+`(?:, )?)+)")
TEST_NAME = re.compile(r"(^|\.)test_|Test(s|\.|$)|_defects$")
ROW = re.compile(r"^\| ([a-z]+-[a-z0-9-]+) \|(.*)\|$", re.MULTILINE)
COLUMNS = 6


class FaultsPageTest(unittest.TestCase):
    def setUp(self):
        self.page = PAGE.read_text()

    def test_page_names_a_test_that_does_not_exist(self):
        named = {name for name in NAME.findall(self.page) if TEST_NAME.search(name)}
        self.assertGreater(len(named), 100)
        self.assertEqual(named - _names_of_tests(), set())

    def test_page_names_a_day_that_does_not_exist(self):
        lists = DAY_LIST.findall(self.page)
        days = {day for names in lists for day in re.findall(r"[\w-]+", names)}
        self.assertGreater(len(days), 10)
        self.assertEqual(days - {path.stem for path in DAYS.glob("*.toml")}, set())

    def test_row_lacks_a_column_or_is_listed_twice(self):
        rows = ROW.findall(self.page)
        self.assertGreater(len(rows), 80)
        self.assertEqual(len(rows), len({name for name, _ in rows}))
        for name, cells in rows:
            self.assertEqual(cells.count("|"), COLUMNS - 2, name)

    def test_soak_plays_a_row_that_the_page_does_not_say_it_plays(self):
        played = {name for name, cells in ROW.findall(self.page) if "soak" in cells}
        self.assertEqual({row.value for row in Row} - played, set())


def _names_of_tests() -> set[str]:
    """Return modules, classes and methods of tests by all their short names."""
    names = set()
    for path in Path("tests").rglob("*.py"):
        names.add(path.stem)
        for each in ast.parse(path.read_text()).body:
            if isinstance(each, ast.ClassDef):
                names |= {each.name, f"{path.stem}.{each.name}"}
                methods = (m for m in each.body if isinstance(m, ast.FunctionDef))
                for method in methods:
                    names |= {
                        method.name,
                        f"{each.name}.{method.name}",
                        f"{path.stem}.{method.name}",
                        f"{path.stem}.{each.name}.{method.name}",
                    }
    return names
