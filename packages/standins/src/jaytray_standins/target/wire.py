"""JSON of a target's responses in the format of OpenAI's completions.

Fields beyond OpenAI's: `id` is the request id of the dispatch, `end_index` counts the
output tokens so far, `output_tokens` announces the total length in the last event.
"""

from typing import Any

from jaytray_core.codec import encode_json
from jaytray_standins.target.state import TokenEvent

CHAT_PATH = "/v1/chat/completions"


def whole_response(
    *, request_id: str, path: str, model: str, text: str, end: TokenEvent
) -> bytes:
    """Return the JSON of a response that was not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
    if path == CHAT_PATH:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return encode_json(
        {
            "id": request_id,
            "object": "chat.completion" if path == CHAT_PATH else "text_completion",
            "created": 0,
            "model": model,
            "choices": [choice],
            "usage": _usage(end),
        }
    )


def stream_event(*, request_id: str, path: str, model: str, event: TokenEvent) -> bytes:
    """Return the JSON of one server-sent event."""
    choice: dict[str, Any] = {"index": 0}
    if path == CHAT_PATH:
        choice["delta"] = {"content": event.text} if event.text else {}
    else:
        choice["text"] = event.text
    choice["finish_reason"] = event.finish_reason or None
    body: dict[str, Any] = {
        "id": request_id,
        "object": "chat.completion.chunk" if path == CHAT_PATH else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "end_index": event.end_index,
    }
    if event.is_end:
        body["output_tokens"] = event.output_tokens
        body["usage"] = _usage(event)
    return encode_json(body)


def _usage(end: TokenEvent) -> dict[str, int]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.output_tokens,
        "total_tokens": end.prompt_tokens + end.output_tokens,
    }
