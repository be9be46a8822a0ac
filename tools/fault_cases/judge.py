"""Compares the responses that callers got with what the stand-ins ran."""

import json
from typing import Any, NamedTuple

from jaytray_standins.target.generation import expected_text
from jaytray_standins.target.records import body_digest
from tools.fault_cases.callers import Attempt, Call, CallKind, Outcome, request_body
from tools.fault_cases.fleet import Fleet

REFUSAL_FIELDS = {"code", "message", "type", "execution", "step", "peer"}
_SERVICE_KINDS = (CallKind.READ, CallKind.BOOK, CallKind.BOOK_KEYED)
_AT_MOST_ONCE_KINDS = (CallKind.BOOK, CallKind.BOOK_KEYED)


class Verdict(NamedTuple):
    """Counts of one case, as a row of the table.

    `unanswered` counts calls whose caller left or whose VM died, `malformed` responses
    that are neither complete nor a typed refusal. `false_not_run` counts attempts that
    ran although the refusal says `not_run`, `doubled` the repeated runs of calls that
    must run at most once, `mixed` responses that are not those of their own call.
    `malformed` and the last three must be 0.
    """

    requests: int
    whole: int
    refused: int
    unanswered: int
    malformed: int
    false_not_run: int
    doubled: int
    mixed: int

    @property
    def is_passed(self) -> bool:
        """Return whether every guarantee to callers held."""
        faults = (self.malformed, self.false_not_run, self.doubled, self.mixed)
        return not any(faults)


def evaluate(fleet: Fleet, outcomes: list[Outcome]) -> Verdict:
    """Return the counts over all calls of a case."""
    runs = _runs_by_attempt(fleet)
    kinds = [_classify_last_attempt(outcome) for outcome in outcomes]
    return Verdict(
        requests=len(outcomes),
        whole=kinds.count("whole"),
        refused=kinds.count("refused"),
        unanswered=kinds.count("unanswered"),
        malformed=kinds.count("malformed"),
        false_not_run=sum(_count_false_not_run(outcome, runs) for outcome in outcomes),
        doubled=sum(_count_repeated_runs(outcome, runs) for outcome in outcomes),
        mixed=sum(
            _is_mixed(outcome.call, attempt)
            for outcome in outcomes
            for attempt in outcome.attempts
        ),
    )


def _runs_by_attempt(fleet: Fleet) -> dict[str, int]:
    """Return the number of runs by `x-attempt` header, or by marker for completions."""
    runs: dict[str, int] = {}
    for request in fleet.ran_requests():
        name = dict(request.headers).get("x-attempt") or _marker_in(request.body)
        runs[name] = runs.get(name, 0) + 1
    return runs


def _marker_in(body: bytes) -> str:
    content: str = json.loads(body)["messages"][0]["content"]
    return content


def _runs(call: Call, number: int, runs: dict[str, int]) -> int:
    if call.kind in (CallKind.CHAT, CallKind.STREAM):
        return runs.get(call.marker, 0)
    return runs.get(f"{call.marker}-{number}", 0)


def _count_false_not_run(outcome: Outcome, runs: dict[str, int]) -> int:
    return sum(
        _says_not_run(attempt) and _runs(outcome.call, attempt.number, runs) > 0
        for attempt in outcome.attempts
    )


def _count_repeated_runs(outcome: Outcome, runs: dict[str, int]) -> int:
    if outcome.call.kind not in _AT_MOST_ONCE_KINDS:
        return 0
    total = sum(_runs(outcome.call, a.number, runs) for a in outcome.attempts)
    return max(0, total - 1)


def _says_not_run(attempt: Attempt) -> bool:
    error = _refusal(attempt)
    return error is not None and error.get("execution") == "not_run"


def _classify_last_attempt(outcome: Outcome) -> str:
    if not outcome.attempts:
        return "unanswered"
    attempt = outcome.attempts[-1]
    if _refusal(attempt) is not None:
        return "refused"
    if not attempt.is_ended:
        return "unanswered"
    is_response = attempt.status == 200 or outcome.call.kind in _SERVICE_KINDS
    return "whole" if is_response else "malformed"


def _refusal(attempt: Attempt) -> dict[str, Any] | None:
    """Return the error of the typed refusal that an attempt got, or None."""
    text = attempt.body.decode()
    if "event: error" in text:
        text = text.split("event: error\ndata: ", 1)[1].split("\n", 1)[0]
    elif attempt.status == 200 or not attempt.is_ended:
        return None
    try:
        error = json.loads(text)["error"]
    except (ValueError, KeyError):
        return None
    return error if set(error) == REFUSAL_FIELDS else None


def _is_mixed(call: Call, attempt: Attempt) -> bool:
    """Return whether a response is not the complete response to its own call."""
    if not attempt.status or _refusal(attempt) is not None:
        return False
    if call.kind is CallKind.STREAM:
        return _is_stream_mixed(call, attempt)
    if not attempt.is_ended:
        return False
    response = json.loads(attempt.body)
    if call.kind is CallKind.CHAT:
        text = response["choices"][0]["message"]["content"]
        return bool(text != expected_text(request_body(call)))
    return bool(response["body_digest"] != body_digest(request_body(call)))


def _is_stream_mixed(call: Call, attempt: Attempt) -> bool:
    """Return whether a stream is not the response to its own call.

    Only a stream without its end marker may be cut short.
    """
    wanted = expected_text(request_body(call))
    text, is_done = stream_text(attempt.body)
    if is_done:
        return text != wanted
    return not wanted.startswith(text)


def stream_text(body: bytes) -> tuple[str, bool]:
    """Return the text of a streamed response and whether it has its end marker."""
    texts: list[str] = []
    for event in body.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if data == "[DONE]":
            return "".join(texts), True
        if event.startswith("data: {"):
            delta = json.loads(data)["choices"][0]["delta"]
            texts.append(delta.get("content", ""))
    return "".join(texts), False
