"""Checks that docs/PROMISES.md covers every promise and names existing tests."""

import pathlib
import re

from testtools import TestCase

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "PROMISES.md").read_text(encoding="utf-8")
NAMED_TEST = re.compile(r"`([\w/.-]+\.py)::(\w+)`")
PROMISE_COUNT = 25


class PromisesTests(TestCase):
    def test_each_promise_names_a_test(self) -> None:
        sections = PAGE.split("\n## ")[1:]
        self.assertEqual(PROMISE_COUNT, len(sections))
        for section in sections:
            self.assertRegex(section, NAMED_TEST, section.partition("\n")[0])

    def test_each_named_test_exists(self) -> None:
        missing = [
            f"{path}::{name}"
            for path, name in NAMED_TEST.findall(PAGE)
            if f"def {name}(" not in _source(path)
        ]
        self.assertEqual([], missing)


def _source(path: str) -> str:
    file = ROOT / path
    return file.read_text(encoding="utf-8") if file.exists() else ""
