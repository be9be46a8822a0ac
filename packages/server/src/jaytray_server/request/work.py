"""One completion to run, its message to a target and its charge in tokens."""

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple, TypedDict

import msgspec

from jaytray_core.codec import DECODE_ERRORS
from jaytray_core.document.model import ClientAccount, TrafficClass
from jaytray_core.errors import Execution, JaytrayError
from jaytray_core.targets import InferRequest, WholeResponse
from jaytray_server.process.quarantine.quarantine import digest_request
from jaytray_server.request.parsing import CompletionCall
from jaytray_server.request.services import RequestServices

PRIORITY_BY_CLASS = {TrafficClass.INTERACTIVE: 0, TrafficClass.DEFERRED: 10}
MAX_ADMISSION_WAIT_S = 0.2


class CompletionWork(NamedTuple):
    """One completion to run.

    `digest` is that of the path and the body, for crash evidence; `deadline_s` is the
    monotonic time by which its first token is due.
    """

    request_id: str
    call: CompletionCall
    account: ClientAccount
    traffic_class: TrafficClass
    digest: str
    deadline_s: float


class Usage(TypedDict, total=False):
    """Token counts in a whole response."""

    prompt_tokens: int
    completion_tokens: int


class _ResponseFields(TypedDict, total=False):
    usage: Usage


class Charge:
    """Tokens to settle for a request when it ends."""

    def __init__(self, *, reserved_tokens: int) -> None:
        self.used_tokens = reserved_tokens


def make_work(
    services: RequestServices,
    *,
    request_id: str,
    call: CompletionCall,
    account: ClientAccount,
    traffic_class: TrafficClass = TrafficClass.INTERACTIVE,
) -> CompletionWork:
    """Return the work for `call` with the deadline of its model."""
    return CompletionWork(
        request_id=request_id,
        call=call,
        account=account,
        traffic_class=traffic_class,
        digest=digest_request(call.path, call.body),
        deadline_s=services.clock() + call.model.first_token_deadline_s,
    )


def make_infer_request(
    services: RequestServices, work: CompletionWork, attempt_id: str
) -> InferRequest:
    """Return the message that starts `work` at a target."""
    return InferRequest(
        request_id=attempt_id,
        path=work.call.path,
        model=work.call.name,
        body=work.call.body,
        resume_after_tokens=0,
        resume_text="",
        priority=PRIORITY_BY_CLASS[work.traffic_class],
        deadline_s=max(0.0, work.deadline_s - services.clock()),
    )


def new_attempt_id() -> str:
    """Return a request id that no other attempt has."""
    return uuid.uuid4().hex


@asynccontextmanager
async def reserve_tokens(
    services: RequestServices, work: CompletionWork
) -> AsyncIterator[Charge]:
    """Reserve the upper bound of the tokens of `work` and settle those it used.

    A request that certainly did not run is not charged.
    """
    tokens = work.call.prompt_tokens + work.call.output_tokens
    reservation = await services.limiter.reserve(
        work.account.name, tokens, MAX_ADMISSION_WAIT_S
    )
    charge = Charge(reserved_tokens=tokens)
    try:
        yield charge
    except JaytrayError as err:
        if err.execution is Execution.NOT_RUN:
            charge.used_tokens = 0
        raise
    finally:
        services.limiter.settle(reservation, min(tokens, charge.used_tokens))


def used_tokens(response: WholeResponse, call: CompletionCall) -> int:
    """Return the tokens that `response` used, or the upper bound if it reports none."""
    if response.status >= 400:
        return 0
    try:
        usage = msgspec.json.decode(response.body, type=_ResponseFields).get(
            "usage", {}
        )
    except DECODE_ERRORS:
        usage = {}
    prompt_tokens = usage.get("prompt_tokens", call.prompt_tokens)
    return prompt_tokens + usage.get("completion_tokens", call.output_tokens)
