"""Ends the handling of a request when its final response is due or the process stops.

Attempts end in time by themselves. The steps around them, such as looking up where a
stream began, have time limits of their own, which may be longer than what the request
has left. A response that has begun is not ended when it is due, however slowly its
caller reads; it is cut off when the process stops.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from jaytray_gateway.request.admission import AdmittedRequest
from jaytray_gateway.request.reply import CallerReply
from jaytray_gateway.request.run_state import (
    RequestState,
    stopping_error,
    time_limit_error,
)
from jaytray_gateway.request.services import RequestServices

# Time that attempts have to end by themselves and record what they show of a target.
GRACE_S = 0.1


@asynccontextmanager
async def time_limit(
    admitted: AdmittedRequest,
    reply: CallerReply,
    services: RequestServices,
    current_state: Callable[[], RequestState | None],
) -> AsyncIterator[None]:
    """Run the block until the request is due; raises the error to respond with."""
    limit = asyncio.timeout(admitted.expires_at_s - services.clock() + GRACE_S)
    is_ended = False

    def end_limit() -> None:
        if not limit.expired():
            limit.reschedule(None)

    def end_request() -> None:
        nonlocal is_ended
        if not reply.is_finished and not limit.expired():
            is_ended = True
            limit.reschedule(asyncio.get_running_loop().time())

    reply.on_start = end_limit
    try:
        with services.lifecycle.ended_by(end_request):
            async with limit:
                yield
    except TimeoutError as err:
        if not limit.expired():
            raise
        if is_ended:
            raise stopping_error(current_state()) from err
        raise time_limit_error(current_state()) from err
    finally:
        reply.on_start = None
