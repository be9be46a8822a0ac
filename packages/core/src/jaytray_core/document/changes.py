"""Operators' changes to the sections of a version, and the rules for withdrawn keys.

Keys and drained names are operational state of the running site: applying a file or
an old version keeps the current ones. A withdrawn key stays in the document, marked
as withdrawn, so that no later version can make it valid again.
"""

from typing import Any

from jaytray_core import document_messages, message_registry as messages
from jaytray_core.document.checker import CheckReport, check_parsed
from jaytray_core.document.options import SECTION_KINDS_BY_NAME
from jaytray_core.document.parser import build_document
from jaytray_core.document.sections import Section
from jaytray_core.errors import JaytrayError, Step

DRAIN_TITLE = "drain"
_KEY_KIND = "key"
_WITHDRAWN = "is_withdrawn"


def merge_operational_state(
    current: list[Section], new: list[Section]
) -> list[Section]:
    """Return `new` with the keys and the drained names of `current` merged in.

    Keys that `new` does not declare are kept, withdrawn keys stay withdrawn, and the
    drained names are kept unless `new` has its own [drain] section.
    """
    withdrawn = _withdrawn_digests(current)
    merged = [_preserve_withdrawal(section, withdrawn) for section in new]
    new_digests = {_digest(section) for section in new if _is_key(section)}
    kept = [s for s in current if _is_key(s) and _digest(s) not in new_digests]
    if not any(section.title == DRAIN_TITLE for section in new):
        kept += [section for section in current if section.title == DRAIN_TITLE]
    return merged + kept


def restore_sections(current: list[Section], old: list[Section]) -> list[Section]:
    """Return `old` with its keys and drained names replaced by those of `current`."""
    kept = [section for section in current if _is_operational(section)]
    return [section for section in old if not _is_operational(section)] + kept


def refuse_unsafe_promotion(production: list[Section], trial: list[Section]) -> None:
    """Raise if promoting trial would silently change production's keys or drains.

    Raises `key_revived`, `key_dropped` or `promotion_refused`.
    """
    trial_valid = _valid_names_by_digest(trial)
    for digest in sorted(_withdrawn_digests(production) & trial_valid.keys()):
        raise _error(
            document_messages.KEY_REVIVED,
            name=trial_valid[digest],
            environment="production",
        )
    production_valid = _valid_names_by_digest(production)
    for digest in sorted(production_valid.keys() - trial_valid.keys()):
        raise _error(
            document_messages.KEY_DROPPED,
            name=production_valid[digest],
            environment="production",
        )
    undrained = _drained_names(production) - _drained_names(trial)
    if undrained:
        names = ", ".join(sorted(undrained))
        detail = f"production drains {names}, which trial does not"
        raise _error(document_messages.PROMOTION_REFUSED, detail=detail)


def create_key(
    sections: list[Section], *, name: str, account: str, digest: str
) -> list[Section]:
    """Return `sections` with a new key; raises `invalid_request` if the name exists."""
    title = f"{_KEY_KIND} {name}"
    if any(section.title == title for section in sections):
        raise _error(messages.INVALID_REQUEST, detail=f"key {name} already exists")
    return [*sections, Section(title, {"account": account, "digest": digest})]


def withdraw_key(sections: list[Section], *, name: str) -> list[Section]:
    """Return `sections` with a key marked as withdrawn; raises `not_found`."""
    title = f"{_KEY_KIND} {name}"
    if all(section.title != title for section in sections):
        raise _error(messages.NOT_FOUND, what="key", name=name)
    return [
        Section(title, {**s.options, _WITHDRAWN: "yes"}) if s.title == title else s
        for s in sections
    ]


def set_drained(
    sections: list[Section], *, option: str, name: str, is_drained: bool
) -> list[Section]:
    """Return `sections` with a name added to or removed from the [drain] section.

    `option` is `vms` or `targets`.
    """
    others = [section for section in sections if section.title != DRAIN_TITLE]
    options = {"vms": "", "targets": ""}
    for section in sections:
        if section.title == DRAIN_TITLE:
            options.update(section.options)
    names = set(options[option].replace(",", " ").split()) - {name}
    if is_drained:
        names.add(name)
    options[option] = ", ".join(sorted(names))
    return [*others, Section(DRAIN_TITLE, options)]


def require_valid(sections: list[Section], *, environment: str) -> CheckReport:
    """Raise `document_invalid` unless the sections form a document without faults.

    Returns the report, which says whether the models were proven reachable.
    """
    parsed = build_document(sections, environment=environment, version=0)
    report = check_parsed(parsed)
    if report.faults:
        raise _error(
            document_messages.DOCUMENT_INVALID,
            faults=len(report.faults),
            detail=report.faults[0].text,
        )
    return report


def is_withdrawn(section: Section) -> bool:
    """Return whether the section of a key is marked as withdrawn."""
    convert = SECTION_KINDS_BY_NAME[_KEY_KIND].options_by_name[_WITHDRAWN].convert
    return bool(convert(section.options.get(_WITHDRAWN, "no")))


def key_sections(sections: list[Section]) -> list[Section]:
    """Return the sections of keys, including withdrawn keys."""
    return [section for section in sections if _is_key(section)]


def _is_key(section: Section) -> bool:
    return section.title.partition(" ")[0] == _KEY_KIND


def _is_operational(section: Section) -> bool:
    return _is_key(section) or section.title == DRAIN_TITLE


def _digest(section: Section) -> str:
    return section.options.get("digest", "")


def _withdrawn_digests(sections: list[Section]) -> set[str]:
    return {_digest(s) for s in sections if _is_key(s) and is_withdrawn(s)}


def _valid_names_by_digest(sections: list[Section]) -> dict[str, str]:
    return {
        _digest(section): section.title.partition(" ")[2]
        for section in sections
        if _is_key(section) and not is_withdrawn(section)
    }


def _preserve_withdrawal(section: Section, withdrawn: set[str]) -> Section:
    if _is_key(section) and _digest(section) in withdrawn:
        return Section(section.title, {**section.options, _WITHDRAWN: "yes"})
    return section


def _drained_names(sections: list[Section]) -> set[str]:
    names: set[str] = set()
    for section in sections:
        if section.title == DRAIN_TITLE:
            for value in section.options.values():
                names.update(value.replace(",", " ").split())
    return names


def _error(template: messages.MessageTemplate, **details: Any) -> JaytrayError:
    return JaytrayError(template, step=Step.CONFIGURATION, **details)
