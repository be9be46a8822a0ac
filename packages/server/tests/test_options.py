"""Tests of the settings of `jaytrayd`."""

import pathlib
import tempfile

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.errors import JaytrayError
from jaytray_server.options import Options, load_options

SETTINGS = """\
[vm]
id = vm-1
failure_domain = zone-a
[callers]
address = 127.0.0.1:8000
[peers]
address = 127.0.0.1:9000
curve_public_key = {key}
curve_secret_key = {key}
[key_value]
address = 127.0.0.1:7000
[vm_list]
address = 127.0.0.1:7001
[weight_store]
address = 127.0.0.1:7002
""".format(key="k" * 40)


def load(text: str) -> Options:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "jaytrayd.ini"
        path.write_text(text)
        return load_options(path)


class OptionsTests(TestCase):
    def test_defaults_fill_in(self) -> None:
        options = load(SETTINGS)
        self.assertEqual("production", options.environment)
        self.assertEqual(5.0, options.balancer_delay_s)

    @parameterized.expand(
        [
            ("unknown section", "[vms]\nid = 1\n", "[vms] option id: unknown section"),
            ("unknown option", "[metrics]\nport = 1\n", "option port: unknown option"),
            ("bad type", "[shutdown]\nbalancer_delay_s = x\n", "not a number"),
            ("out of bounds", "[shutdown]\nbalancer_delay_s = -1\n", "not between"),
            ("host name", "[metrics]\nstatsd_address = host:1\n", "not an IP number"),
            ("bad port", "[metrics]\nstatsd_address = 127.0.0.1:99999\n", "not a port"),
            ("syntax", "nonsense\n", "settings_unreadable"),
        ]
    )
    def test_fault_is_named(self, _name: str, extra: str, expected: str) -> None:
        err = self.assertRaises(JaytrayError, load, SETTINGS + extra)
        self.assertIn(expected, str(err))
        self.assertNotIn("\n", str(err))

    def test_required_option_is_named(self) -> None:
        text = SETTINGS.replace("id = vm-1\n", "")
        err = self.assertRaises(JaytrayError, load, text)
        self.assertIn("[vm] option id: this option is required", str(err))
