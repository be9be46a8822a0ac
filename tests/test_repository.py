"""Repository checks: message codes, licences, wire names, requirement pins, layout."""

import pathlib
import re
import tomllib

from testtools import TestCase

from jaytray_core import document_messages, message_registry

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Header names, calls and keys of the platform's wire protocols.
WIRE_NAME = re.compile(r"Jaytray-[A-Z]|kv-(key|range|watch|txn|lease)|op/conf" "ig")
LICENCE_NOTICE = re.compile(r"^#.*(copyright|licensed under|spdx)", re.I | re.M)


class RepositoryTests(TestCase):
    def test_message_codes_are_unique(self) -> None:
        templates = [
            value
            for module in (message_registry, document_messages)
            for value in vars(module).values()
            if isinstance(value, message_registry.MessageTemplate)
        ]
        self.assertEqual(len(templates), len(message_registry.by_code()))

    def test_source_files_carry_no_licence_notice(self) -> None:
        offenders = [
            str(path)
            for folder in ("packages", "platform", "tests", "tools")
            for path in (ROOT / folder).rglob("*.py")
            if LICENCE_NOTICE.search(path.read_text())
        ]
        self.assertEqual([], offenders)

    def test_wire_names_of_the_platform_occur_only_in_its_adapter(self) -> None:
        offenders = [
            str(path)
            for folder in ("packages", "tests", "tools")
            for path in (ROOT / folder).rglob("*.py")
            if path.name != "test_repository.py" and WIRE_NAME.search(path.read_text())
        ]
        self.assertEqual([], offenders)

    def test_run_time_requirements_have_the_same_pins(self) -> None:
        pinned = set((ROOT / "requirements.txt").read_text().split())
        lines = (ROOT / "platform" / "requirements.txt").read_text().splitlines()
        run_time = {line for line in lines if line and not line.startswith("#")}
        self.assertEqual(set(), run_time - pinned)

    def test_platform_folder_does_not_shadow_the_standard_library(self) -> None:
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

    def test_gateway_starts_from_the_checkout_alone(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.assertIn("platform/requirements.txt", deploy["build"])
        self.assertNotIn("packages", deploy["build"])
        for role in deploy["roles"].values():
            program = role["run"].split()[1]
            self.assertTrue((ROOT / program).is_file(), program)
