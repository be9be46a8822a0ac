"""Deterministic token generation.

The tokens depend only on the prompt and the model, so that every target gives the same
response and a test can compute what a caller must receive.
"""

import hashlib
from typing import NamedTuple, TypedDict

import msgspec

from jaytray_core.prefix_digests import CHARACTERS_PER_TOKEN

_BASE_LENGTH_TOKENS = 8
_LENGTH_VARIATION_TOKENS = 25


class ChatMessage(TypedDict, total=False):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(TypedDict, total=False):
    """The fields of an OpenAI completion request that the stand-in reads."""

    model: str
    messages: list[ChatMessage]
    prompt: str
    max_tokens: int
    min_tokens: int
    stream: bool


class Generation(NamedTuple):
    """The complete response to one body, as the texts of its tokens."""

    prompt: str
    prompt_tokens: int
    tokens: tuple[str, ...]
    finish_reason: str


def decode_body(body: bytes) -> CompletionBody:
    """Decode a completion request; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(body, type=CompletionBody)


def prompt_of(body: CompletionBody) -> str:
    """Return the text of the prompt or of all messages."""
    messages = body.get("messages", [])
    parts = [f"{m.get('role', '')}: {m.get('content', '')}\n" for m in messages]
    return body.get("prompt", "") + "".join(parts)


def generate(body: CompletionBody) -> Generation:
    """Return the response that every target gives to `body`."""
    prompt = prompt_of(body)
    seed = hashlib.blake2b(
        f"{body.get('model', '')}\0{prompt}".encode(), digest_size=8
    ).digest()
    natural_length = _BASE_LENGTH_TOKENS + seed[0] % _LENGTH_VARIATION_TOKENS
    unlimited_length = max(natural_length, body.get("min_tokens", 0))
    length = min(unlimited_length, body.get("max_tokens", unlimited_length))
    tokens = tuple(_token(seed, position) for position in range(length))
    finish_reason = "length" if length < unlimited_length else "stop"
    prompt_tokens = max(1, len(prompt) // CHARACTERS_PER_TOKEN)
    return Generation(prompt, prompt_tokens, tokens, finish_reason)


def expected_text(body: bytes) -> str:
    """Return the complete text that the response to `body` must have."""
    return "".join(generate(decode_body(body)).tokens)


def _token(seed: bytes, position: int) -> str:
    data = seed + position.to_bytes(4, "big")
    digest = hashlib.blake2b(data, digest_size=2).digest()
    return f"w{int.from_bytes(digest, 'big'):05d} "
