"""Converters from the text of an option to its value, with their documented bounds.

A converter raises ValueError with a predicate, such as "is not a whole number"; the
fault's text puts the name of the option before it.
"""

import re
from collections.abc import Callable
from typing import Any, TypeVar

from jaytray_core.document.model import TrafficClass

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,99}")
_ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}", re.ASCII)
_DIGEST_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")
_METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
_WORDS_BY_BOOL = {True: ("yes", "true", "on"), False: ("no", "false", "off")}
_MAX_OCTET = 255
_MAX_PORT = 65535

Number = TypeVar("Number", int, float)
# Converts the text of an option to its value; raises ValueError with the reason.
Converter = Callable[[str], Any]


def integer(minimum: int, maximum: int) -> tuple[str, Converter]:
    """Return the bounds and the converter of a whole number."""

    def convert(text: str) -> int:
        if not re.fullmatch(r"-?\d{1,18}", text, re.ASCII):
            raise ValueError("is not a whole number")
        return _within(int(text), minimum, maximum)

    return f"{minimum} to {maximum}", convert


def decimal(minimum: float, maximum: float) -> tuple[str, Converter]:
    """Return the bounds and the converter of a decimal number."""

    def convert(text: str) -> float:
        if not re.fullmatch(r"-?\d{1,18}(\.\d{1,9})?", text, re.ASCII):
            raise ValueError("is not a decimal number")
        return _within(float(text), minimum, maximum)

    return f"{minimum:g} to {maximum:g}", convert


def _within(value: Number, minimum: float, maximum: float) -> Number:
    if not minimum <= value <= maximum:
        raise ValueError(f"is not within {minimum:g} to {maximum:g}")
    return value


def convert_bool(text: str) -> bool:
    """Convert `yes`, `true` or `on`, and `no`, `false` or `off`."""
    for value, words in _WORDS_BY_BOOL.items():
        if text.lower() in words:
            return value
    raise ValueError("is neither yes nor no")


def convert_optional_bool(text: str) -> bool | None:
    """Convert like `convert_bool`; `default` gives None."""
    return None if text == "default" else convert_bool(text)


def convert_name(text: str) -> str:
    """Check a name and return it unchanged."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("is not a name of letters, digits and . _ : -")
    return text


def convert_names(text: str) -> tuple[str, ...]:
    """Convert a list of names separated by commas or blanks."""
    return tuple(convert_name(name) for name in text.replace(",", " ").split())


def convert_address(text: str) -> str:
    """Check an IPv4 address `IP:port` and return it unchanged."""
    if not _ADDRESS_PATTERN.fullmatch(text):
        raise ValueError("is not IP:port")
    ip, port = text.split(":")
    if any(int(octet) > _MAX_OCTET for octet in ip.split(".")):
        raise ValueError("is not IP:port")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError("has no valid port")
    return text


def convert_addresses(text: str) -> tuple[str, ...]:
    """Convert a list of distinct `IP:port` addresses with at least one entry."""
    addresses = tuple(map(convert_address, text.replace(",", " ").split()))
    if not addresses:
        raise ValueError("contains no address")
    if len(set(addresses)) != len(addresses):
        raise ValueError("contains an address twice")
    return addresses


def convert_digest(text: str) -> str:
    """Check the digest of a key and return it unchanged."""
    if not _DIGEST_PATTERN.fullmatch(text):
        raise ValueError("is not sha256: and 64 hex digits")
    return text


def convert_path_prefix(text: str) -> str:
    """Check a path prefix and return it unchanged."""
    if not text.startswith("/") or any(c in text for c in "?# "):
        raise ValueError("is not a path that starts with /")
    return text


def convert_methods(text: str) -> tuple[str, ...]:
    """Convert a list of HTTP methods."""
    methods = tuple(text.replace(",", " ").split())
    if not methods or not all(map(_METHOD_PATTERN.fullmatch, methods)):
        raise ValueError("is not a list of HTTP methods")
    return methods


def convert_traffic_class(text: str) -> TrafficClass:
    """Convert a traffic class."""
    try:
        return TrafficClass(text)
    except ValueError:
        raise ValueError("is neither interactive nor deferred") from None
