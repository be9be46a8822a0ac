"""Table of the sections and options of a document.

The parser and the generated schema page both use the table, so that they agree.
Option names are the field names of the records in `model`.
"""

from typing import NamedTuple

from jaytray_core.document.option_types import (
    Converter,
    convert_address,
    convert_addresses,
    convert_bool,
    convert_digest,
    convert_methods,
    convert_name,
    convert_names,
    convert_optional_bool,
    convert_path_prefix,
    convert_traffic_class,
    decimal,
    integer,
)

_MAX_MEMORY_MIB = 4_194_304
_MAX_TOKENS = 1_000_000_000


class Option(NamedTuple):
    """One option; `default` None means that it is required.

    `bounds` describes the allowed values; `convert` enforces them.
    """

    name: str
    unit: str
    default: str | None
    bounds: str
    description: str
    convert: Converter


class SectionKind(NamedTuple):
    """One kind of section: `[KIND NAME]`, or `[KIND]` if `is_named` is false."""

    kind: str
    is_named: bool
    description: str
    options_by_name: dict[str, Option]


_BOOL = ("yes or no", convert_bool)
_NAME = ("a name", convert_name)
_ADDRESS = ("IP:port", convert_address)
_MEMORY = integer(1, _MAX_MEMORY_MIB)
_VERSION = Option("version", "", "1", *_NAME[:1], "Version to serve.", _NAME[1])


def _option(
    name: str,
    unit: str,
    default: str | None,
    rule: tuple[str, Converter],
    description: str,
) -> Option:
    return Option(name, unit, default, rule[0], description, rule[1])


def _section(
    kind: str, is_named: bool, description: str, *options: Option
) -> SectionKind:
    return SectionKind(kind, is_named, description, {o.name: o for o in options})


_SECTIONS = (
    _section(
        "account",
        True,
        "A client account; its rate and burst apply to all VMs together.",
        _option(
            "rate_tokens_per_s",
            "tokens/s",
            None,
            decimal(0.001, 10_000_000),
            "Rate over all VMs.",
        ),
        _option(
            "burst_tokens", "tokens", None, integer(1, _MAX_TOKENS), "Largest burst."
        ),
        _option("weight", "", "1", decimal(0.01, 1000), "Relative share under load."),
    ),
    _section(
        "key",
        True,
        "A key of a client account; the document holds its digest only.",
        _option("account", "", None, _NAME, "Client account that the key belongs to."),
        _option(
            "digest",
            "",
            None,
            ("sha256: and 64 hex digits", convert_digest),
            "SHA-256 of the key's UTF-8 bytes.",
        ),
        _option(
            "is_withdrawn",
            "",
            "no",
            _BOOL,
            "Whether it is withdrawn; a withdrawn key is never valid again.",
        ),
    ),
    _section(
        "model",
        True,
        "A model that must stay reachable; each replica is on one accelerator.",
        _VERSION,
        _option("memory_mib", "MiB", None, _MEMORY, "Memory of one replica."),
        _option("min_replicas", "replicas", "1", integer(1, 1000), "Minimum number."),
        _option("max_replicas", "replicas", "1", integer(1, 1000), "Maximum number."),
        _option(
            "max_output_tokens",
            "tokens",
            "1024",
            integer(1, 1_000_000),
            "Charged when a request sets no max_tokens.",
        ),
        _option(
            "first_token_deadline_s",
            "s",
            "2",
            decimal(0.01, 3600),
            "Time to the first token before a request is refused.",
        ),
        _option(
            "inter_token_deadline_s",
            "s",
            "0.05",
            decimal(0.001, 3600),
            "Time between tokens at a fully loaded replica; placement relies on it.",
        ),
    ),
    _section(
        "adapter",
        True,
        "An adapter, loaded on the same accelerator as a replica of its model.",
        _option("model", "", None, _NAME, "Base model of the adapter."),
        _VERSION,
        _option("memory_mib", "MiB", None, _MEMORY, "Memory of the adapter."),
    ),
    _section(
        "target",
        True,
        "A model server.",
        _option("address", "", None, _ADDRESS, "Address that it listens on."),
        _option(
            "failure_domain",
            "",
            None,
            _NAME,
            "Failure domain; whatever shares it may fail together.",
        ),
        _option("accelerators", "", None, integer(1, 64), "Number of accelerators."),
        _option(
            "accelerator_memory_mib",
            "MiB",
            None,
            _MEMORY,
            "Memory of each accelerator.",
        ),
        _option(
            "checks_fencing",
            "",
            "no",
            _BOOL,
            "Whether it refuses orders with an old fencing number.",
        ),
        _option(
            "max_running_requests",
            "requests",
            "16",
            integer(1, 10_000),
            "Maximum number of requests running on it at once.",
        ),
        _option(
            "environment",
            "",
            "production",
            _NAME,
            "Environment whose VMs use it; VMs of others do not.",
        ),
    ),
    _section(
        "service",
        True,
        "A plain service behind /services/NAME/.",
        _option(
            "addresses", "", None, ("list of IP:port", convert_addresses), "Instances."
        ),
    ),
    _section(
        "route",
        True,
        "Rule for calls to a service; the longest matching prefix applies.",
        _option("service", "", None, _NAME, "Service that the calls go to."),
        _option(
            "path_prefix",
            "",
            "/",
            ("a path", convert_path_prefix),
            "Prefix of the paths, below the service, that it covers.",
        ),
        _option(
            "methods",
            "",
            "GET, HEAD",
            ("list of HTTP methods", convert_methods),
            "Methods that it covers.",
        ),
        _option("is_open", "", "no", _BOOL, "Whether calls need no key."),
        _option(
            "is_repeatable",
            "",
            "default",
            ("yes, no or default", convert_optional_bool),
            "Whether a call may be repeated; by default only GET and HEAD.",
        ),
        _option(
            "traffic_class",
            "",
            "interactive",
            ("interactive or deferred", convert_traffic_class),
            "Whether a caller waits for the answer or fetches it later.",
        ),
        _option(
            "timeout_s", "s", "10", decimal(0.01, 3600), "Time limit for one call."
        ),
        _option(
            "charge_tokens",
            "tokens",
            "0",
            integer(0, _MAX_TOKENS),
            "Charged to the account's rate for each call.",
        ),
    ),
    _section(
        "drain",
        False,
        "VMs and targets that receive no new requests; see 'jaytray drain'.",
        _option("vms", "", "", ("list of names", convert_names), "Ids of VMs."),
        _option("targets", "", "", ("list of names", convert_names), "Targets."),
    ),
)

SECTION_KINDS_BY_NAME = {section.kind: section for section in _SECTIONS}
