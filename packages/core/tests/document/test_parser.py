"""Tests of the parser: faults with their lines, values, arbitrary text."""

from hypothesis import given, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.document.model import TrafficClass
from jaytray_core.document.options import SECTION_KINDS_BY_NAME
from jaytray_core.document.parser import parse_document
from jaytray_core.document.sections import Section, read_sections, write_sections

ACCOUNT = "[account a]\nrate_tokens_per_s = 5\nburst_tokens = 10\n"
DIGEST = "sha256:" + "0" * 64

FAULTS = [
    ("unknown option", ACCOUNT + "color = red\n", [(4, "option_unknown")]),
    ("unknown section", "[modle m]\n", [(1, "section_unknown")]),
    ("missing name", "\n[model]\n", [(2, "section_name_invalid")]),
    ("name on drain", "[drain x]\n", [(1, "section_name_invalid")]),
    ("bad name", "[model a b]\n", [(1, "section_name_invalid")]),
    ("missing option", "[model m]\n", [(1, "option_invalid")]),
    ("rate too low", ACCOUNT.replace("= 5", "= 0"), [(2, "option_invalid")]),
    ("rate too high", ACCOUNT.replace("= 5", "= 99999999"), [(2, "option_invalid")]),
    ("rate not a number", ACCOUNT.replace("= 5", "= nan"), [(2, "option_invalid")]),
    ("rate in exponents", ACCOUNT.replace("= 5", "= 1e3"), [(2, "option_invalid")]),
    ("doubled section", ACCOUNT + "\n" + ACCOUNT, [(5, "name_doubled")]),
    ("doubled option", ACCOUNT + "burst_tokens = 11\n", [(4, "name_doubled")]),
    (
        "doubled digest",
        f"[key a]\naccount = x\ndigest = {DIGEST}\n"
        f"[key b]\naccount = x\ndigest = {DIGEST}\n",
        [(6, "name_doubled")],
    ),
    (
        "a key in place of a digest",
        "[key a]\naccount=x\ndigest=secret\n",
        [(3, "option_invalid")],
    ),
    ("no section", "rate = 1\n", [(1, "document_syntax")]),
    ("no option", ACCOUNT + "what is this\n", [(4, "document_syntax")]),
    ("bad address", "[service s]\naddresses = 300.1.1.1:80\n", [(2, "option_invalid")]),
    (
        "address twice",
        "[service s]\naddresses = 1.1.1.1:80 1.1.1.1:80\n",
        [(2, "option_invalid")],
    ),
    (
        "all faults of a text",
        "[account a]\nrate_tokens_per_s = x\nburst_tokens = 0\n[nothing]\n",
        [(2, "option_invalid"), (3, "option_invalid"), (4, "section_unknown")],
    ),
]


def ini_lines() -> st.SearchStrategy[str]:
    """Return texts whose lines mostly resemble those of a document."""
    kinds = sorted(SECTION_KINDS_BY_NAME)
    options = sorted(
        name for kind in SECTION_KINDS_BY_NAME.values() for name in kind.options_by_name
    )
    line = st.one_of(
        st.builds("[{} {}]".format, st.sampled_from(kinds), st.text(max_size=4)),
        st.builds("{} = {}".format, st.sampled_from(options), st.text(max_size=6)),
        st.text(max_size=12),
    )
    return st.lists(line, max_size=12).map("\n".join)


class ParserTests(TestCase):
    @parameterized.expand(FAULTS)
    def test_fault(
        self, _name: str, text: str, expected: list[tuple[int, str]]
    ) -> None:
        parsed = parse_document(text, environment="trial")
        self.assertEqual(expected, [(f.line, f.code) for f in parsed.faults])
        self.assertIsNone(parsed.document)

    def test_values_and_defaults(self) -> None:
        text = (
            "; comment\n[route r]  # comment\nservice = s\nmethods = POST, PUT\n"
            "is_repeatable = no\ntraffic_class = deferred\n[drain]\nvms = v1, v2\n"
        )
        document = parse_document(text, environment="trial", version=3).document
        assert document is not None
        route = document.routes_by_name["r"]
        self.assertEqual(("POST", "PUT"), route.methods)
        self.assertIs(False, route.is_repeatable)
        self.assertIs(TrafficClass.DEFERRED, route.traffic_class)
        self.assertEqual(10.0, route.timeout_s)
        self.assertEqual(frozenset({"v1", "v2"}), document.drained_vms)
        self.assertEqual(3, document.version)

    def test_withdrawn_key_is_not_valid(self) -> None:
        text = f"[key k]\naccount = a\ndigest = {DIGEST}\nis_withdrawn = yes\n"
        document = parse_document(text, environment="trial").document
        assert document is not None
        self.assertEqual({}, document.keys_by_digest)

    @given(st.one_of(st.text(), ini_lines()))
    def test_arbitrary_text_gives_a_document_or_faults(self, text: str) -> None:
        parsed = parse_document(text, environment="trial")
        self.assertEqual(parsed.document is None, bool(parsed.faults))
        line_count = text.count("\n") + 1
        self.assertTrue(all(0 <= f.line <= line_count for f in parsed.faults))

    def test_written_sections_are_read_back(self) -> None:
        sections = [
            Section("drain", {"vms": "", "targets": "t"}),
            Section("model m", {}),
        ]
        self.assertEqual(sections, read_sections(write_sections(sections)).sections)
