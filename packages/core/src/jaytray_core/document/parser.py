"""Turns INI text or stored sections into a typed `Document`.

Values are checked against the table in `options`. References between sections are
checked by `checker`, which also needs the whole document.
"""

from typing import Any, NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.document.model import (
    Adapter,
    ClientAccount,
    Document,
    Key,
    Model,
    Route,
    Service,
    Target,
)
from jaytray_core.document.option_types import NAME_PATTERN
from jaytray_core.document.options import (
    SECTION_KINDS_BY_NAME,
    Option,
    SectionKind,
)
from jaytray_core.document.sections import (
    Fault,
    Section,
    SourceLines,
    make_fault,
    read_sections,
)

NO_LINES = SourceLines({}, {})


class ParsedDocument(NamedTuple):
    """A document, or None when there are faults, with what it was made from."""

    document: Document | None
    sections: list[Section]
    lines: SourceLines
    faults: list[Fault]


def parse_document(text: str, *, environment: str, version: int = 0) -> ParsedDocument:
    """Parse INI text; any text gives a document or faults with their lines."""
    source = read_sections(text)
    built = build_document(
        source.sections,
        environment=environment,
        version=version,
        lines=source.lines,
    )
    faults = sorted(source.faults + built.faults)
    document = None if faults else built.document
    return ParsedDocument(document, source.sections, source.lines, faults)


def build_document(
    sections: list[Section],
    *,
    environment: str,
    version: int,
    lines: SourceLines = NO_LINES,
) -> ParsedDocument:
    """Build a document from sections; `lines` locates the faults."""
    faults: list[Fault] = []
    values_by_kind: dict[str, dict[str, dict[str, Any]]] = {
        kind: {} for kind in SECTION_KINDS_BY_NAME
    }
    for section in sections:
        kind, name, found = _check_title(section, lines)
        if kind is None:
            faults.extend(found)
            continue
        values, found_in_options = _convert_options(section, kind, lines)
        faults.extend(found + found_in_options)
        values_by_kind[kind.kind][name] = values
    if faults:
        return ParsedDocument(None, sections, lines, faults)
    document = _assemble(values_by_kind, environment, version)
    faults = _find_doubled_digests(values_by_kind["key"], lines)
    return ParsedDocument(None if faults else document, sections, lines, faults)


def _check_title(
    section: Section, lines: SourceLines
) -> tuple[SectionKind | None, str, list[Fault]]:
    line = lines.find(section.title)
    word, _, name = section.title.partition(" ")
    kind = SECTION_KINDS_BY_NAME.get(word)
    if kind is None:
        fault = make_fault(messages.SECTION_UNKNOWN, line, section=section.title)
        return None, "", [fault]
    is_valid = NAME_PATTERN.fullmatch(name) if kind.is_named else not name
    if not is_valid:
        fault = make_fault(messages.SECTION_NAME_INVALID, line, section=section.title)
        return None, "", [fault]
    return kind, name, []


def _convert_options(
    section: Section, kind: SectionKind, lines: SourceLines
) -> tuple[dict[str, Any], list[Fault]]:
    faults = [
        make_fault(
            messages.OPTION_UNKNOWN,
            lines.find(section.title, name),
            section=section.title,
            option=name,
        )
        for name in section.options
        if name not in kind.options_by_name
    ]
    values: dict[str, Any] = {}
    for option in kind.options_by_name.values():
        try:
            values[option.name] = _convert_option(section, option)
        except ValueError as err:
            faults.append(
                make_fault(
                    messages.OPTION_INVALID,
                    lines.find(section.title, option.name),
                    section=section.title,
                    option=option.name,
                    detail=err,
                )
            )
    return values, faults


def _convert_option(section: Section, option: Option) -> Any:
    text = section.options.get(option.name, option.default)
    if text is None:
        raise ValueError("must be given")
    return option.convert(text)


def _find_doubled_digests(
    keys: dict[str, dict[str, Any]], lines: SourceLines
) -> list[Fault]:
    first_by_digest: dict[str, str] = {}
    faults = []
    for name, values in keys.items():
        first = first_by_digest.setdefault(values["digest"], name)
        if first != name:
            faults.append(
                make_fault(
                    messages.NAME_DOUBLED,
                    lines.find(f"key {name}", "digest"),
                    name=f"digest of [key {name}]",
                    first=lines.find(f"key {first}", "digest"),
                )
            )
    return faults


def _assemble(
    values_by_kind: dict[str, dict[str, dict[str, Any]]], environment: str, version: int
) -> Document:
    drain = values_by_kind["drain"].get("", {"vms": (), "targets": ()})
    return Document(
        environment=environment,
        version=version,
        accounts_by_name={
            name: ClientAccount(name=name, **values)
            for name, values in values_by_kind["account"].items()
        },
        keys_by_digest={
            values["digest"]: Key(name, values["account"], values["digest"])
            for name, values in values_by_kind["key"].items()
            if not values["is_withdrawn"]
        },
        models_by_name={
            name: Model(name=name, **values)
            for name, values in values_by_kind["model"].items()
        },
        adapters_by_name={
            name: Adapter(name=name, **values)
            for name, values in values_by_kind["adapter"].items()
        },
        targets_by_name={
            name: Target(name=name, is_drained=name in drain["targets"], **values)
            for name, values in values_by_kind["target"].items()
        },
        services_by_name={
            name: Service(name=name, **values)
            for name, values in values_by_kind["service"].items()
        },
        routes_by_name={
            name: Route(name=name, **values)
            for name, values in values_by_kind["route"].items()
        },
        drained_vms=frozenset(drain["vms"]),
    )
