"""Parsing of completion requests; malformed input becomes a typed refusal.

Only the fields that jaytray uses are decoded. The caller's body is forwarded to the
target unchanged.
"""

from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from jaytray_core import message_registry as messages
from jaytray_core.codec import DECODE_ERRORS
from jaytray_core.document.model import Document, Model
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.request.refusals import invalid_request

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
# Characters per token that the estimate of a prompt's tokens assumes.
CHARACTERS_PER_TOKEN = 4
MAX_MODEL_NAME_CHARACTERS = 256


class ChatMessage(TypedDict):
    """One message of a chat; the content may be text or a list of parts."""

    role: str
    content: NotRequired[str | list[dict[str, Any]] | None]


class CompletionBody(TypedDict):
    """Fields of a chat or text completion that jaytray reads."""

    model: str
    messages: NotRequired[list[ChatMessage]]
    prompt: NotRequired[str | list[str | int]]
    max_tokens: NotRequired[int | None]
    max_completion_tokens: NotRequired[int | None]
    stream: NotRequired[bool | None]


class CompletionCall(NamedTuple):
    """A parsed completion; `name` is a model or an adapter of `model`."""

    path: str
    name: str
    model: Model
    body: bytes
    prompt: str
    prompt_tokens: int
    output_tokens: int
    is_stream: bool


def parse_completion(path: str, body: bytes, document: Document) -> CompletionCall:
    """Return the call in `body`; raises `invalid_request` or `model_unknown`."""
    try:
        fields = msgspec.json.decode(body, type=CompletionBody)
    except DECODE_ERRORS as err:
        raise invalid_request(f"the body is not a completion request: {err}") from err
    name = fields["model"]
    model = find_model(name, document)
    prompt = _prompt_text(path, fields)
    return CompletionCall(
        path=path,
        name=name,
        model=model,
        body=body,
        prompt=prompt,
        prompt_tokens=max(1, -(-len(prompt) // CHARACTERS_PER_TOKEN)),
        output_tokens=_output_tokens(fields, model),
        is_stream=bool(fields.get("stream")),
    )


def find_model(name: str, document: Document) -> Model:
    """Return the model that serves `name`, a model or an adapter."""
    adapter = document.adapters_by_name.get(name)
    model = document.models_by_name.get(adapter.model if adapter else name)
    if model is None:
        shown = name[:MAX_MODEL_NAME_CHARACTERS]
        raise JaytrayError(messages.MODEL_UNKNOWN, step=Step.ROUTE, name=shown)
    return model


def _prompt_text(path: str, fields: CompletionBody) -> str:
    if path == CHAT_PATH:
        chat = fields.get("messages")
        if not chat:
            raise invalid_request("messages: at least one message is required")
        return "\n".join(_message_text(message) for message in chat)
    prompt = fields.get("prompt")
    if not prompt:
        raise invalid_request("prompt: a non-empty prompt is required")
    if isinstance(prompt, str):
        return prompt
    return "\n".join(str(part) for part in prompt)


def _message_text(message: ChatMessage) -> str:
    content = message.get("content") or ""
    if not isinstance(content, str):
        content = "".join(str(part.get("text", "")) for part in content)
    return f"{message['role']}: {content}"


def _output_tokens(fields: CompletionBody, model: Model) -> int:
    requested = fields.get("max_completion_tokens")
    if requested is None:
        requested = fields.get("max_tokens")
    if requested is None:
        return model.max_output_tokens
    if requested < 1:
        raise invalid_request("max_tokens: must be at least 1")
    return min(requested, model.max_output_tokens)
