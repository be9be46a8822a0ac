"""Checks a whole document: references, bounds between options, and reachability.

Each fault has the line of the option that causes it. Reachability is "unproven" when
the packing heuristic fails and it is not proven that no packing exists.
"""

from typing import NamedTuple

from jaytray_core import document_messages
from jaytray_core.document.model import PRODUCTION, Document, with_targets_of
from jaytray_core.document.options import SECTION_KINDS_BY_NAME
from jaytray_core.document.packing import (
    PackingResult,
    Reachability,
    pack_all,
    pack_without_each_domain,
)
from jaytray_core.document.parser import ParsedDocument, parse_document
from jaytray_core.document.sections import Fault, Section, SourceLines, make_fault


class CheckReport(NamedTuple):
    """Faults in the order of lines, and the results of the reachability check.

    `all_domains` is None and `without_domain` is empty unless the document could be
    built and its references, names and sizes are free of faults.
    """

    parsed: ParsedDocument
    faults: list[Fault]
    all_domains: PackingResult | None
    without_domain: list[PackingResult]

    @property
    def is_proven(self) -> bool:
        """Return whether all models fit, also when any one failure domain is lost."""
        results = [self.all_domains, *self.without_domain]
        return all(r is not None and r.outcome is Reachability.PROVEN for r in results)


def check_text(text: str, *, environment: str = "checked") -> CheckReport:
    """Check INI text; never raises, whatever the text is."""
    return check_parsed(parse_document(text, environment=environment))


def check_parsed(parsed: ParsedDocument) -> CheckReport:
    """Check a parsed document."""
    document = parsed.document
    if document is None:
        return CheckReport(parsed, parsed.faults, None, [])
    faults = [
        *_check_references(parsed.sections, document, parsed.lines),
        *_check_names(document, parsed.lines),
        *_check_accounts(document, parsed.lines),
        *_check_sizes(document, parsed.lines),
    ]
    if faults:
        return CheckReport(parsed, sorted(faults), None, [])
    document = with_targets_of(document, _checked_environment(document))
    all_domains = pack_all(document)
    if all_domains.outcome is Reachability.IMPOSSIBLE:
        faults.append(
            make_fault(
                document_messages.REPLICAS_DO_NOT_FIT,
                0,
                needed=all_domains.needed_mib,
                available=all_domains.available_mib,
            )
        )
    return CheckReport(parsed, faults, all_domains, pack_without_each_domain(document))


def _checked_environment(document: Document) -> str:
    """Return production if it has targets, else the first environment with targets."""
    found = {target.environment for target in document.targets_by_name.values()}
    return PRODUCTION if PRODUCTION in found else min(found, default=PRODUCTION)


def _check_references(
    sections: list[Section], document: Document, lines: SourceLines
) -> list[Fault]:
    faults = []
    for section in sections:
        for option, name, known in _references_of(section, document):
            if name not in known:
                faults.append(
                    make_fault(
                        document_messages.REFERENCE_UNKNOWN,
                        lines.find(section.title, option),
                        section=section.title,
                        option=option,
                        name=name,
                    )
                )
    return faults


def _references_of(
    section: Section, document: Document
) -> list[tuple[str, str, frozenset[str]]]:
    """Return (option, name, declared names) for each reference of a section."""
    kind = section.title.partition(" ")[0]
    if kind == "key" and section.options["digest"] in document.keys_by_digest:
        known = frozenset(document.accounts_by_name)
        return [("account", section.options["account"], known)]
    if kind == "adapter":
        known = frozenset(document.models_by_name)
        return [("model", section.options["model"], known)]
    if kind == "route":
        known = frozenset(document.services_by_name)
        return [("service", section.options["service"], known)]
    if kind == "drain":
        convert = SECTION_KINDS_BY_NAME["drain"].options_by_name["targets"].convert
        known = frozenset(document.targets_by_name)
        names = convert(section.options.get("targets", ""))
        return [("targets", name, known) for name in names]
    return []


def _check_names(document: Document, lines: SourceLines) -> list[Fault]:
    """Find adapters with the name of a model, and routes that cover the same calls."""
    faults = [
        _duplicate_fault(f"adapter {name}", f"model {name}", lines)
        for name in document.adapters_by_name
        if name in document.models_by_name
    ]
    first_by_call: dict[tuple[str, str, str], str] = {}
    for route in document.routes_by_name.values():
        for method in route.methods:
            call = (route.service, route.path_prefix, method)
            first = first_by_call.setdefault(call, route.name)
            if first != route.name:
                faults.append(
                    _duplicate_fault(f"route {route.name}", f"route {first}", lines)
                )
                break
    return faults


def _duplicate_fault(title: str, first_title: str, lines: SourceLines) -> Fault:
    return make_fault(
        document_messages.NAME_DOUBLED,
        lines.find(title),
        name=f"the name or a call of [{title}]",
        first=lines.find(first_title),
    )


def _check_accounts(document: Document, lines: SourceLines) -> list[Fault]:
    return [
        make_fault(
            document_messages.BURST_BELOW_RATE,
            lines.find(f"account {account.name}", "burst_tokens"),
            name=account.name,
            burst=account.burst_tokens,
        )
        for account in document.accounts_by_name.values()
        if account.burst_tokens < account.rate_tokens_per_s
    ]


def _check_sizes(document: Document, lines: SourceLines) -> list[Fault]:
    memories = [
        target.accelerator_memory_mib
        for target in document.targets_by_name.values()
        for _ in range(target.accelerators)
    ]
    faults = []
    for name in document.models_by_name:
        faults.extend(_check_model(document, name, memories, lines))
    faults.extend(_check_adapters(document, max(memories, default=0), lines))
    return faults


def _check_model(
    document: Document, name: str, memories: list[int], lines: SourceLines
) -> list[Fault]:
    model = document.models_by_name[name]
    title = f"model {name}"
    faults = []
    if model.min_replicas > model.max_replicas:
        faults.append(
            make_fault(
                document_messages.REPLICA_BOUNDS_CROSSED,
                lines.find(title, "min_replicas"),
                name=name,
                minimum=model.min_replicas,
                maximum=model.max_replicas,
            )
        )
    largest = max(memories, default=0)
    possible = sum(memory >= model.memory_mib for memory in memories)
    if not possible:
        faults.append(_too_large_fault(title, model.memory_mib, largest, lines))
    elif possible < model.min_replicas:
        faults.append(
            make_fault(
                document_messages.REPLICAS_EXCEED_ACCELERATORS,
                lines.find(title, "min_replicas"),
                name=name,
                minimum=model.min_replicas,
                possible=possible,
            )
        )
    return faults


def _check_adapters(
    document: Document, largest: int, lines: SourceLines
) -> list[Fault]:
    """Find adapters that do not fit on any accelerator along with their model."""
    faults = []
    for adapter in document.adapters_by_name.values():
        model = document.models_by_name.get(adapter.model)
        if model is None or model.memory_mib > largest:
            continue
        needed = model.memory_mib + adapter.memory_mib
        if needed > largest:
            title = f"adapter {adapter.name}"
            faults.append(_too_large_fault(title, needed, largest, lines))
    return faults


def _too_large_fault(
    title: str, needed: int, largest: int, lines: SourceLines
) -> Fault:
    return make_fault(
        document_messages.MODEL_FITS_NOWHERE,
        lines.find(title, "memory_mib"),
        section=title,
        memory=needed,
        largest=largest,
    )
