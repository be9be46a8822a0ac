"""Table of the sections and options of a document.

The table drives the parser and the generated schema page, so that both always agree.
Option names are the field names of `model`.
"""

import re
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from jaytray_core.document.model import TrafficClass

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,99}")
_ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}", re.ASCII)
_DIGEST_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")
_METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
_WORDS_BY_BOOL = {True: ("yes", "true", "on"), False: ("no", "false", "off")}
_MAX_OCTET = 255
_MAX_PORT = 65535
_MAX_MEMORY_MIB = 4_194_304
_MAX_TOKENS = 1_000_000_000

Number = TypeVar("Number", int, float)
# Turns the text of an option into its value; raises ValueError with the reason.
Convert = Callable[[str], Any]


class Option(NamedTuple):
    """One option: `default` None means that it must be given.

    `bounds` is shown to operators; `convert` enforces it.
    """

    name: str
    unit: str
    default: str | None
    bounds: str
    text: str
    convert: Convert


class SectionKind(NamedTuple):
    """One kind of section; `[KIND NAME]`, or `[KIND]` when it has no name."""

    kind: str
    is_named: bool
    text: str
    options_by_name: dict[str, Option]


def _integer(minimum: int, maximum: int) -> tuple[str, Convert]:
    def convert(text: str) -> int:
        if not re.fullmatch(r"-?\d{1,18}", text, re.ASCII):
            raise ValueError("is not a whole number")
        return _within(int(text), minimum, maximum)

    return f"{minimum} to {maximum}", convert


def _decimal(minimum: float, maximum: float) -> tuple[str, Convert]:
    def convert(text: str) -> float:
        if not re.fullmatch(r"-?\d{1,18}(\.\d{1,9})?", text, re.ASCII):
            raise ValueError("is not a decimal number")
        return _within(float(text), minimum, maximum)

    return f"{minimum:g} to {maximum:g}", convert


def _within(value: Number, minimum: float, maximum: float) -> Number:
    if not minimum <= value <= maximum:
        raise ValueError(f"is not within {minimum:g} to {maximum:g}")
    return value


def _convert_bool(text: str) -> bool:
    for value, words in _WORDS_BY_BOOL.items():
        if text.lower() in words:
            return value
    raise ValueError("is neither yes nor no")


def _convert_optional_bool(text: str) -> bool | None:
    return None if text == "default" else _convert_bool(text)


def _convert_name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("is not a name of letters, digits and . _ : -")
    return text


def _convert_names(text: str) -> tuple[str, ...]:
    return tuple(_convert_name(name) for name in text.replace(",", " ").split())


def _convert_address(text: str) -> str:
    if not _ADDRESS_PATTERN.fullmatch(text):
        raise ValueError("is not IP:port")
    ip, port = text.split(":")
    if any(int(octet) > _MAX_OCTET for octet in ip.split(".")):
        raise ValueError("is not IP:port")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError("has no valid port")
    return text


def _convert_addresses(text: str) -> tuple[str, ...]:
    addresses = tuple(map(_convert_address, text.replace(",", " ").split()))
    if not addresses:
        raise ValueError("names no address")
    if len(set(addresses)) != len(addresses):
        raise ValueError("names an address twice")
    return addresses


def _convert_digest(text: str) -> str:
    if not _DIGEST_PATTERN.fullmatch(text):
        raise ValueError("is not sha256: and 64 hex digits")
    return text


def _convert_path_prefix(text: str) -> str:
    if not text.startswith("/") or any(c in text for c in "?# "):
        raise ValueError("is not a path that starts with /")
    return text


def _convert_methods(text: str) -> tuple[str, ...]:
    methods = tuple(text.replace(",", " ").split())
    if not methods or not all(map(_METHOD_PATTERN.fullmatch, methods)):
        raise ValueError("is not a list of HTTP methods")
    return methods


def _convert_traffic_class(text: str) -> TrafficClass:
    try:
        return TrafficClass(text)
    except ValueError:
        raise ValueError("is neither interactive nor deferred") from None


_BOOL = ("yes or no", _convert_bool)
_NAME = ("a name", _convert_name)
_ADDRESS = ("IP:port", _convert_address)
_MEMORY = _integer(1, _MAX_MEMORY_MIB)
_VERSION = Option("version", "", "1", *_NAME[:1], "Version to serve.", _NAME[1])


def _option(
    name: str,
    unit: str,
    default: str | None,
    rule: tuple[str, Convert],
    text: str,
) -> Option:
    return Option(name, unit, default, rule[0], text, rule[1])


def _section(kind: str, is_named: bool, text: str, *options: Option) -> SectionKind:
    return SectionKind(kind, is_named, text, {o.name: o for o in options})


_SECTIONS = (
    _section(
        "account",
        True,
        "A client account with its contract over all VMs together.",
        _option(
            "rate_tokens_per_s",
            "tokens/s",
            None,
            _decimal(0.001, 10_000_000),
            "Rate over all VMs.",
        ),
        _option(
            "burst_tokens", "tokens", None, _integer(1, _MAX_TOKENS), "Largest burst."
        ),
        _option("weight", "", "1", _decimal(0.01, 1000), "Share under load, relative."),
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
            ("sha256: and 64 hex digits", _convert_digest),
            "SHA-256 of the key's UTF-8 bytes.",
        ),
        _option(
            "is_withdrawn", "", "no", _BOOL, "A withdrawn key is never valid again."
        ),
    ),
    _section(
        "model",
        True,
        "A model that must stay reachable; a replica lies on one accelerator.",
        _VERSION,
        _option("memory_mib", "MiB", None, _MEMORY, "Memory of one replica."),
        _option("min_replicas", "replicas", "1", _integer(1, 1000), "Kept at least."),
        _option("max_replicas", "replicas", "1", _integer(1, 1000), "Kept at most."),
        _option(
            "max_output_tokens",
            "tokens",
            "1024",
            _integer(1, 1_000_000),
            "Charged when a request names no max_tokens.",
        ),
        _option(
            "first_token_deadline_s",
            "s",
            "10",
            _decimal(0.01, 3600),
            "Time to the first token before a request is refused.",
        ),
        _option(
            "inter_token_deadline_s",
            "s",
            "5",
            _decimal(0.01, 3600),
            "Silence within a stream before it is resumed elsewhere.",
        ),
    ),
    _section(
        "adapter",
        True,
        "An adapter of a model, loaded beside a replica of it.",
        _option("model", "", None, _NAME, "The model that it adapts."),
        _VERSION,
        _option("memory_mib", "MiB", None, _MEMORY, "Memory of the adapter."),
    ),
    _section(
        "target",
        True,
        "A model server.",
        _option("address", "", None, _ADDRESS, "Where it listens."),
        _option("failure_domain", "", None, _NAME, "What fails together with it."),
        _option("accelerators", "", None, _integer(1, 64), "Number of accelerators."),
        _option("accelerator_memory_mib", "MiB", None, _MEMORY, "Memory of each."),
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
            _integer(1, 10_000),
            "Requests kept at it at once.",
        ),
    ),
    _section(
        "service",
        True,
        "A plain service behind /services/NAME/.",
        _option(
            "addresses", "", None, ("list of IP:port", _convert_addresses), "Instances."
        ),
    ),
    _section(
        "route",
        True,
        "Rule for calls to a service; the longest matching prefix wins.",
        _option("service", "", None, _NAME, "The service that it leads to."),
        _option(
            "path_prefix",
            "",
            "/",
            ("a path", _convert_path_prefix),
            "Paths below the service that it covers.",
        ),
        _option(
            "methods",
            "",
            "GET, HEAD",
            ("list of HTTP methods", _convert_methods),
            "Methods that it covers.",
        ),
        _option("is_open", "", "no", _BOOL, "Whether calls need no key."),
        _option(
            "is_repeatable",
            "",
            "default",
            ("yes, no or default", _convert_optional_bool),
            "Whether a call may be repeated; by default only GET and HEAD.",
        ),
        _option(
            "traffic_class",
            "",
            "interactive",
            ("interactive or deferred", _convert_traffic_class),
            "Whether a caller waits for the answer.",
        ),
        _option("timeout_s", "s", "10", _decimal(0.01, 3600), "Limit for one call."),
        _option(
            "charge_tokens",
            "tokens",
            "0",
            _integer(0, _MAX_TOKENS),
            "Taken from the account's rate for each call.",
        ),
    ),
    _section(
        "drain",
        False,
        "VMs and targets that get no new work; see 'jaytray drain'.",
        _option("vms", "", "", ("list of names", _convert_names), "Ids of VMs."),
        _option("targets", "", "", ("list of names", _convert_names), "Targets."),
    ),
)

SECTION_KINDS_BY_NAME = {section.kind: section for section in _SECTIONS}
