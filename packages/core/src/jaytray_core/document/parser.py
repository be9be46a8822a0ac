"""Converts INI text or stored sections to a typed `Document`.

Values are checked against the table in `options`. References between sections are
checked by `checker`, since that needs the whole document.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from jaytray_core import document_messages
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
    """The sections of a document, and the document itself if there are no faults."""

    document: Document | None
    sections: list[Section]
    lines: SourceLines
    faults: list[Fault]


class DeclaredKey(NamedTuple):
    """A key, and whether it is withdrawn."""

    key: Key
    is_withdrawn: bool


class DrainedNames(NamedTuple):
    """VMs and targets that receive no new requests."""

    vms: tuple[str, ...]
    targets: tuple[str, ...]


class Declaration(NamedTuple):
    """One section, converted to a record of `model` or of this module."""

    kind: str
    name: str
    record: Any


def parse_document(text: str, *, environment: str, version: int = 0) -> ParsedDocument:
    """Parse INI text; the result has a document, or faults with their lines."""
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
    """Build a document from sections; `lines` gives the faults their line numbers."""
    declarations, faults = convert_sections(sections, lines)
    if not faults:
        faults = find_duplicate_digests(declarations, lines)
    document = None if faults else assemble_document(declarations, environment, version)
    return ParsedDocument(document, sections, lines, faults)


def convert_sections(
    sections: Iterable[Section], lines: SourceLines = NO_LINES
) -> tuple[list[Declaration], list[Fault]]:
    """Convert each section separately; sections with faults are left out."""
    declarations: list[Declaration] = []
    faults: list[Fault] = []
    for section in sections:
        kind, name, found = _check_title(section, lines)
        if kind is not None:
            values, found = _convert_options(section, kind, lines)
            if not found:
                record = _RECORD_BY_KIND[kind.kind](name, values)
                declarations.append(Declaration(kind.kind, name, record))
        faults.extend(found)
    return declarations, faults


def assemble_document(
    declarations: Iterable[Declaration], environment: str, version: int
) -> Document:
    """Build a document from converted sections; cheap, as no value is converted."""
    by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in SECTION_KINDS_BY_NAME}
    for kind, name, record in declarations:
        by_kind[kind][name] = record
    drain = by_kind["drain"].get("", DrainedNames((), ()))
    targets_by_name = by_kind["target"]
    for name in drain.targets:
        if name in targets_by_name:
            drained = targets_by_name[name]._replace(is_drained=True)
            targets_by_name[name] = drained
    return Document(
        environment=environment,
        version=version,
        accounts_by_name=by_kind["account"],
        keys_by_digest={
            declared.key.digest: declared.key
            for declared in by_kind["key"].values()
            if not declared.is_withdrawn
        },
        models_by_name=by_kind["model"],
        adapters_by_name=by_kind["adapter"],
        targets_by_name=targets_by_name,
        services_by_name=by_kind["service"],
        routes_by_name=by_kind["route"],
        drained_vms=frozenset(drain.vms),
    )


def find_duplicate_digests(
    declarations: Iterable[Declaration], lines: SourceLines = NO_LINES
) -> list[Fault]:
    """Return a fault for each key whose digest an earlier key has."""
    first_by_digest: dict[str, str] = {}
    faults = []
    for kind, name, record in declarations:
        if kind != "key":
            continue
        first = first_by_digest.setdefault(record.key.digest, name)
        if first != name:
            faults.append(
                make_fault(
                    document_messages.NAME_DOUBLED,
                    lines.find(f"key {name}", "digest"),
                    name=f"digest of [key {name}]",
                    first=lines.find(f"key {first}", "digest"),
                )
            )
    return faults


def _check_title(
    section: Section, lines: SourceLines
) -> tuple[SectionKind | None, str, list[Fault]]:
    line = lines.find(section.title)
    word, _, name = section.title.partition(" ")
    kind = SECTION_KINDS_BY_NAME.get(word)
    if kind is None:
        fault = make_fault(
            document_messages.SECTION_UNKNOWN, line, section=section.title
        )
        return None, "", [fault]
    is_valid = NAME_PATTERN.fullmatch(name) if kind.is_named else not name
    if not is_valid:
        fault = make_fault(
            document_messages.SECTION_NAME_INVALID, line, section=section.title
        )
        return None, "", [fault]
    return kind, name, []


def _convert_options(
    section: Section, kind: SectionKind, lines: SourceLines
) -> tuple[dict[str, Any], list[Fault]]:
    faults = [
        make_fault(
            document_messages.OPTION_UNKNOWN,
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
                    document_messages.OPTION_INVALID,
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
        raise ValueError("is required")
    return option.convert(text)


def _key_record(name: str, values: dict[str, Any]) -> DeclaredKey:
    key = Key(name, values["account"], values["digest"])
    return DeclaredKey(key, values["is_withdrawn"])


_RECORD_BY_KIND: dict[str, Callable[[str, dict[str, Any]], Any]] = {
    "account": lambda name, values: ClientAccount(name=name, **values),
    "key": _key_record,
    "model": lambda name, values: Model(name=name, **values),
    "adapter": lambda name, values: Adapter(name=name, **values),
    "target": lambda name, values: Target(name=name, is_drained=False, **values),
    "service": lambda name, values: Service(name=name, **values),
    "route": lambda name, values: Route(name=name, **values),
    "drain": lambda _name, values: DrainedNames(**values),
}
