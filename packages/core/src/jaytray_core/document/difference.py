"""Compares two versions of a document section by section."""

import enum
from typing import NamedTuple

from jaytray_core.document.sections import Section


class ChangeKind(enum.StrEnum):
    """How a section differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class SectionChange(NamedTuple):
    """One section that differs; `lines` are a diff of its options."""

    kind: ChangeKind
    title: str
    lines: list[str]


def compare_sections(old: list[Section], new: list[Section]) -> list[SectionChange]:
    """Return the sections that differ, ordered by title."""
    old_by_title = {section.title: section.options for section in old}
    new_by_title = {section.title: section.options for section in new}
    changes = []
    for title in sorted(old_by_title.keys() | new_by_title.keys()):
        before, after = old_by_title.get(title), new_by_title.get(title)
        lines = _compare_options(before or {}, after or {})
        if before is None:
            changes.append(SectionChange(ChangeKind.ADDED, title, lines))
        elif after is None:
            changes.append(SectionChange(ChangeKind.REMOVED, title, lines))
        elif lines:
            changes.append(SectionChange(ChangeKind.CHANGED, title, lines))
    return changes


def _compare_options(before: dict[str, str], after: dict[str, str]) -> list[str]:
    lines = []
    for name in sorted(before.keys() | after.keys()):
        if name in before and before[name] != after.get(name):
            lines.append(f"- {name} = {before[name]}")
        if name in after and after[name] != before.get(name):
            lines.append(f"+ {name} = {after[name]}")
    return lines
