"""Endpoints of deferred requests, and execution of deferred jobs."""

from typing import Any, NotRequired, TypedDict

import msgspec

from jaytray_core import message_registry as messages
from jaytray_core.codec import DECODE_ERRORS, encode_json
from jaytray_core.document.model import TrafficClass
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.targets import WholeResponse
from jaytray_server.process.deferred.records import (
    MAX_JOB_BODY_BYTES,
    Job,
    JobResult,
    is_job_id,
    make_job_id,
)
from jaytray_server.process.idempotency.idempotency import check_key
from jaytray_server.request.dispatch import dispatch_whole
from jaytray_server.request.endpoint import Exchange, require_caller
from jaytray_server.request.parsing import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    CompletionCall,
    parse_completion,
)
from jaytray_server.request.refusals import invalid_request
from jaytray_server.request.responses import send_whole
from jaytray_server.request.service_routes import (
    IDEMPOTENCY_HEADER,
    run_service_call,
)
from jaytray_server.request.service_routing import (
    SERVICE_PREFIX,
    IncomingCall,
    find_route,
    is_repeatable,
    split_service_path,
)
from jaytray_server.request.services import RequestServices
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.request.work import make_work
from jaytray_server.version.authentication import Caller

DEFERRED_PATH = "/v1/deferred"
_JSON_HEADERS = [("content-type", "application/json")]


class DeferredBody(TypedDict):
    """Body of a submission: the request to run later."""

    path: str
    method: NotRequired[str]
    body: Any


class DeferredStatus(TypedDict):
    """Response to a submission and to a look-up.

    `answer` is the JSON response of a finished job, or its text; `refusal` has the
    shape of a refusal.
    """

    id: str
    status: str
    answer_status: NotRequired[int]
    answer: NotRequired[msgspec.Raw | str]
    refusal: NotRequired[msgspec.Raw]


async def respond_to_submission(services: RequestServices, exchange: Exchange) -> None:
    """Respond to `POST /v1/deferred` once the job is stored durably."""
    caller = require_caller(services, exchange)
    key = dict(exchange.headers).get(IDEMPOTENCY_HEADER, "")
    if key:
        check_key(key)
    job = _parse_job(services, exchange, caller, key)
    check_job(services, job)
    await services.deferred.submit(job)
    services.metrics.increment("deferred.accepted", 1)
    await _send_status(exchange, 202, DeferredStatus(id=job.job_id, status="queued"))


async def respond_to_lookup(services: RequestServices, exchange: Exchange) -> None:
    """Respond to `GET /v1/deferred/ID` for the account that submitted it."""
    caller = require_caller(services, exchange)
    job_id = exchange.path.rsplit("/", 1)[1]
    if not is_job_id(job_id):
        raise JaytrayError(
            messages.NOT_FOUND,
            step=Step.DEFERRED,
            what="deferred job",
            name=job_id[:64],
        )
    status = await services.deferred.find(job_id, caller.account.name)
    if status.result is None:
        await _send_status(exchange, 202, DeferredStatus(id=job_id, status="queued"))
    else:
        await _send_status(exchange, 200, _finished_status(status.result))


def check_job(services: RequestServices, job: Job) -> None:
    """Raise a refusal for a job that can never run."""
    document = services.current_document()
    if job.path in (CHAT_PATH, COMPLETIONS_PATH):
        if job.method != "POST":
            raise invalid_request("method: a completion requires POST")
        parse_completion(job.path, job.body, document)
        return
    if not job.path.startswith(SERVICE_PREFIX):
        raise invalid_request(
            f"path: must be {CHAT_PATH}, {COMPLETIONS_PATH} or {SERVICE_PREFIX}NAME/..."
        )
    route = find_route(document, _incoming_call(job))
    if not is_repeatable(route, job.method) and not job.idempotency_key:
        raise JaytrayError(messages.DEFERRED_NEEDS_KEY, step=Step.DEFERRED)


async def run_job(services: RequestServices, job: Job) -> WholeResponse:
    """Run a job for the account that submitted it; raises `JaytrayError`."""
    caller = _find_caller(services, job)
    document = services.current_document()
    tracker = DispatchTracker()
    with services.lifecycle.running_response():
        if job.path in (CHAT_PATH, COMPLETIONS_PATH):
            call = parse_completion(job.path, job.body, document)
            return await _run_completion(services, job, call, caller, tracker)
        service_call = _incoming_call(job)
        route = find_route(document, service_call)
        deferred_route = route._replace(traffic_class=TrafficClass.DEFERRED)
        return await run_service_call(
            services, deferred_route, service_call, caller, tracker
        )


async def _run_completion(
    services: RequestServices,
    job: Job,
    call: CompletionCall,
    caller: Caller,
    tracker: DispatchTracker,
) -> WholeResponse:
    work = make_work(
        services,
        request_id=job.job_id,
        call=call,
        account=caller.account,
        traffic_class=TrafficClass.DEFERRED,
    )
    wait_s = services.timeouts.deferred_start_s
    deferred_work = work._replace(deadline_s=services.clock() + wait_s)
    return await dispatch_whole(services, deferred_work, tracker)


def _parse_job(
    services: RequestServices, exchange: Exchange, caller: Caller, key: str
) -> Job:
    try:
        fields = msgspec.json.decode(exchange.body, type=DeferredBody)
    except DECODE_ERRORS as err:
        raise invalid_request(f"the body is not a deferred request: {err}") from err
    body = encode_json(_without_streaming(fields))
    if len(body) > MAX_JOB_BODY_BYTES:
        raise JaytrayError(
            messages.REQUEST_TOO_LARGE, step=Step.DEFERRED, limit=MAX_JOB_BODY_BYTES
        )
    return Job(
        job_id=make_job_id(caller.account.name, key),
        account=caller.account.name,
        key_digest=caller.key_digest,
        method=fields.get("method", "POST").upper(),
        path=fields["path"],
        idempotency_key=key,
        body=body,
        submitted_at_s=services.wall_clock(),
    )


def _without_streaming(fields: DeferredBody) -> Any:
    """Return the body without the streaming options of a completion."""
    body = fields["body"]
    is_completion = fields["path"] in (CHAT_PATH, COMPLETIONS_PATH)
    if not is_completion or not isinstance(body, dict):
        return body
    removed = ("stream", "stream_options")
    return {name: value for name, value in body.items() if name not in removed}


def _find_caller(services: RequestServices, job: Job) -> Caller:
    document = services.current_document()
    key = document.keys_by_digest.get(job.key_digest)
    account = document.accounts_by_name.get(job.account)
    if key is None or account is None or key.account != job.account:
        raise JaytrayError(messages.KEY_WITHDRAWN, step=Step.DEFERRED)
    return Caller(account=account, key_digest=job.key_digest, key="")


def _incoming_call(job: Job) -> IncomingCall:
    path, _, query = job.path.partition("?")
    name, decoded, raw_path = split_service_path(path)
    headers = [("content-type", "application/json")]
    if job.idempotency_key:
        headers.append((IDEMPOTENCY_HEADER, job.idempotency_key))
    return IncomingCall(
        request_id=job.job_id,
        method=job.method,
        service=name,
        path=decoded,
        raw_path=raw_path,
        query=query,
        headers=headers,
        body=job.body,
    )


def _finished_status(result: JobResult) -> DeferredStatus:
    if result.is_refusal:
        return DeferredStatus(
            id=result.job_id,
            status="failed",
            answer_status=result.status,
            refusal=msgspec.Raw(result.body),
        )
    return DeferredStatus(
        id=result.job_id,
        status="done",
        answer_status=result.status,
        answer=_json_or_text(result.body),
    )


def _json_or_text(body: bytes) -> msgspec.Raw | str:
    try:
        msgspec.json.decode(body)
    except DECODE_ERRORS:
        return body.decode("utf-8", errors="replace")
    return msgspec.Raw(body)


async def _send_status(exchange: Exchange, status: int, body: DeferredStatus) -> None:
    await send_whole(
        exchange.send,
        request_id=exchange.request_id,
        status=status,
        headers=list(_JSON_HEADERS),
        body=encode_json(body),
    )
