"""Checks that the generated reference pages are current."""

from parameterized import parameterized
from testtools import TestCase

from tools.make_pages import PAGES_BY_PATH, ROOT


class GeneratedPagesTests(TestCase):
    @parameterized.expand([(path,) for path in PAGES_BY_PATH])
    def test_page_is_current(self, path: str) -> None:
        committed = (ROOT / path).read_text(encoding="utf-8")
        self.assertEqual(PAGES_BY_PATH[path](), committed)
