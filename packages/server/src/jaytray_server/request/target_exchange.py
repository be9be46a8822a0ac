"""Common parts of whole and streamed exchanges: checks, errors, cancellation."""

import asyncio

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_core.targets import TargetConnection, WholeResponse
from jaytray_server.request.services import RequestServices

_log = get_logger()


def check_echo(request_id: str, attempt_id: str, target: str) -> None:
    """Raise `answer_mismatch` unless the response echoes the attempt's id."""
    if request_id != attempt_id:
        raise target_error(messages.ANSWER_MISMATCH, target)


def check_completion_response(
    response: WholeResponse, attempt_id: str, target: str
) -> WholeResponse:
    """Return `response`; raises an error on a mismatched id or a 5xx status."""
    check_echo(response.request_id, attempt_id, target)
    if response.status >= 500:
        detail = f"status {response.status}"
        raise target_error(messages.TARGET_FAILED, target, detail=detail)
    return response


def target_timeout(target: str, timeout_s: float) -> JaytrayError:
    """Return the error for a target that sent nothing for `timeout_s`."""
    return target_error(messages.TARGET_TIMEOUT, target, timeout_s=timeout_s)


def target_error(
    template: messages.MessageTemplate,
    target: str,
    *,
    detail: str = "",
    timeout_s: float = 0.0,
) -> JaytrayError:
    """Return the error of an attempt whose request was sent and may have run."""
    return JaytrayError(
        template,
        step=Step.DISPATCH,
        peer=target,
        execution=Execution.MAY_HAVE_RUN,
        detail=detail,
        timeout_s=timeout_s,
    )


async def cancel_at_target(
    services: RequestServices, connection: TargetConnection, attempt_id: str
) -> None:
    """Ask the target to stop producing the response; a failure is only logged."""
    try:
        async with asyncio.timeout(services.timeouts.cancel_s):
            await connection.cancel(attempt_id)
    except (JaytrayError, TimeoutError) as err:
        _log.info("cancel_failed", target=connection.target, error=str(err))
