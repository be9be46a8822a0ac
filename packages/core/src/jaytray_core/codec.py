"""Encoding of typed messages with msgspec.

JSON is used with external systems and for values in the key-value service, so that
operators can read them; MessagePack is used between jaytray's own processes.
Decoding validates types: a malformed message raises `JaytrayError`.
"""

from typing import Any, TypeVar

import msgspec

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step

T = TypeVar("T")
# What msgspec raises for data that cannot be decoded; deeply nested data exceeds the
# interpreter's recursion limit.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def encode_json(message: Any) -> bytes:
    """Return `message` as compact JSON."""
    return msgspec.json.encode(message)


def decode_json(data: bytes | str, message_type: type[T], *, peer: str) -> T:
    """Decode JSON into `message_type`; `peer` names the sender in errors."""
    try:
        return msgspec.json.decode(data, type=message_type)
    except DECODE_ERRORS as err:
        raise malformed_message(peer=peer, detail=str(err)) from err


def encode_msgpack(message: Any) -> bytes:
    """Return `message` as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_msgpack(data: bytes, message_type: type[T], *, peer: str) -> T:
    """Decode MessagePack into `message_type`; `peer` names the sender in errors."""
    try:
        return msgspec.msgpack.decode(data, type=message_type)
    except DECODE_ERRORS as err:
        raise malformed_message(peer=peer, detail=str(err)) from err


def malformed_message(*, peer: str, detail: str) -> JaytrayError:
    """Return the error for a message that cannot be decoded to its type."""
    return JaytrayError(
        messages.MALFORMED_MESSAGE,
        detail=detail,
        step=Step.DECODE,
        peer=peer,
        execution=Execution.NOT_RUN,
    )
