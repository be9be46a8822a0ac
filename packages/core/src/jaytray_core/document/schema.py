"""Generates the schema page: `python -m jaytray_core.document.schema > PAGE`."""

import sys

from jaytray_core.document.options import SECTION_KINDS_BY_NAME, Option, SectionKind

_INTRODUCTION = """\
# Options of the document

Generated from the table that the parser uses; regenerate it with
`python -m jaytray_core.document.schema > docs/operations/document-schema.md`.

A document is INI text. Each section is `[KIND NAME]`; names have letters, digits and
`.`, `_`, `:`, `-`. Options are `name = value`; `#` starts a comment. Lists are
separated by commas or blanks.
"""
_HEADER = """\
| option | unit | default | bounds | meaning |
|---|---|---|---|---|
"""


def schema_page() -> str:
    """Return the page as Markdown."""
    parts = [_INTRODUCTION, *map(_section, SECTION_KINDS_BY_NAME.values())]
    return "\n".join(parts)


def _section(kind: SectionKind) -> str:
    title = f"[{kind.kind} NAME]" if kind.is_named else f"[{kind.kind}]"
    rows = "".join(map(_row, kind.options_by_name.values()))
    return f"## `{title}`\n\n{kind.description}\n\n{_HEADER}{rows}"


def _row(option: Option) -> str:
    default = "required" if option.default is None else f"`{option.default}`"
    cells = (
        f"`{option.name}`",
        option.unit or "-",
        "empty" if option.default == "" else default,
        option.bounds,
        option.description,
    )
    return f"| {' | '.join(cells)} |\n"


if __name__ == "__main__":
    sys.stdout.write(schema_page())
