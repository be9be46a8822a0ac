"""Reads the sections of a document from INI text, with line numbers, and writes them.

`configparser` parses the values. It does not report line numbers, so a second scan
with the same patterns finds the lines of sections and options.
"""

import configparser
import io
from typing import NamedTuple

from jaytray_core import document_messages
from jaytray_core.message_registry import MessageTemplate


class Fault(NamedTuple):
    """One fault of a document; `line` is 0 if it concerns no single line."""

    line: int
    code: str
    text: str


class Section(NamedTuple):
    """One section; `title` is the text in brackets with normalized whitespace."""

    title: str
    options: dict[str, str]


class SourceLines(NamedTuple):
    """Line numbers in a file, by section title and by (title, option)."""

    by_title: dict[str, int]
    by_option: dict[tuple[str, str], int]

    def find(self, title: str, option: str = "") -> int:
        """Return the line of the option, else that of the section, else 0."""
        section_line = self.by_title.get(title, 0)
        return self.by_option.get((title, option), section_line)


class ParsedSections(NamedTuple):
    """Sections read from INI text, with their lines and the faults found."""

    sections: list[Section]
    lines: SourceLines
    faults: list[Fault]


def make_fault(template: MessageTemplate, line: int, **details: object) -> Fault:
    """Return a fault with the code and the formatted text of `template`."""
    return Fault(line, template.code, template.text.format(**details))


def read_sections(text: str) -> ParsedSections:
    """Read INI text; never raises, whatever the text is."""
    lines, faults = _scan_lines(text)
    parser = _make_parser()
    try:
        parser.read_string(text)
    except configparser.Error as err:
        faults.append(_syntax_fault(err))
    sections = [
        Section(_normalize(title), dict(parser.items(title)))
        for title in parser.sections()
    ]
    return ParsedSections(sections, lines, faults)


def write_sections(sections: list[Section]) -> str:
    """Return `sections` as INI text that `read_sections` can read."""
    blocks = []
    for title, options in sections:
        lines = [f"{name} = {value}".rstrip() for name, value in options.items()]
        blocks.append("\n".join([f"[{title}]", *lines, ""]))
    return "\n".join(blocks)


def _make_parser() -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        inline_comment_prefixes=("#",),
        strict=False,
        empty_lines_in_values=False,
        default_section="",
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def _normalize(title: str) -> str:
    return " ".join(title.split())


def _scan_lines(text: str) -> tuple[SourceLines, list[Fault]]:
    lines = SourceLines({}, {})
    faults: list[Fault] = []
    title = ""
    line_by_option: dict[str, int] = {}
    for number, line in enumerate(io.StringIO(text), start=1):
        if not line.strip() or line[0] in "#;" or line[0].isspace():
            continue
        header = configparser.RawConfigParser.SECTCRE.match(line)
        if header is not None:
            title, line_by_option = _normalize(header["header"]), {}
            first = lines.by_title.setdefault(title, number)
            faults += _duplicate_faults(f"[{title}]", number, first)
            continue
        option = line.split("=", 1)[0].strip()
        lines.by_option.setdefault((title, option), number)
        first = line_by_option.setdefault(option, number)
        faults += _duplicate_faults(f"option {option} of [{title}]", number, first)
    return lines, faults


def _duplicate_faults(name: str, line: int, first: int) -> list[Fault]:
    if line == first:
        return []
    return [make_fault(document_messages.NAME_DOUBLED, line, name=name, first=first)]


def _syntax_fault(err: configparser.Error) -> Fault:
    line = getattr(err, "lineno", 0)
    errors = getattr(err, "errors", None)
    if errors:
        line = errors[0][0]
    reason = "this line is not a section, an option or a comment"
    return make_fault(document_messages.DOCUMENT_SYNTAX, line, detail=reason)
