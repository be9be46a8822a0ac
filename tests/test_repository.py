"""Checks over the whole repository: message codes, secrets, test names."""

import pathlib
import re

from testtools import TestCase

from jaytray_core import message_registry

ROOT = pathlib.Path(__file__).resolve().parent.parent
LICENCE_NOTICE = re.compile(r"^#.*(copyright|licensed under|spdx)", re.I | re.M)


class RepositoryTests(TestCase):
    def test_message_codes_are_unique(self) -> None:
        templates = [
            value
            for value in vars(message_registry).values()
            if isinstance(value, message_registry.MessageTemplate)
        ]
        self.assertEqual(len(templates), len(message_registry.by_code()))

    def test_source_files_carry_no_licence_notice(self) -> None:
        offenders = [
            str(path)
            for path in (ROOT / "packages").rglob("*.py")
            if LICENCE_NOTICE.search(path.read_text())
        ]
        self.assertEqual([], offenders)
