"""Ends the handling of a request when its final response is due.

Attempts end in time by themselves. The steps around them, such as looking up where a
stream began, have time limits of their own, which may be longer than what the request
has left. A response that has begun is not ended, however slowly its caller reads.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.request.admission import AdmittedRequest
from jaytray_gateway.request.reply import CallerReply
from jaytray_gateway.request.run_state import RequestState, time_limit_error

# Time that attempts have to end by themselves and record what they show of a target.
GRACE_S = 0.1


@asynccontextmanager
async def time_limit(
    admitted: AdmittedRequest,
    reply: CallerReply,
    clock: MonotonicClock,
    current_state: Callable[[], RequestState | None],
) -> AsyncIterator[None]:
    """Run the block until the request is due; raises the error to respond with."""
    limit = asyncio.timeout(admitted.expires_at_s - clock() + GRACE_S)

    def end_limit() -> None:
        if not limit.expired():
            limit.reschedule(None)

    reply.on_start = end_limit
    try:
        async with limit:
            yield
    except TimeoutError as err:
        if not limit.expired():
            raise
        raise time_limit_error(current_state()) from err
    finally:
        reply.on_start = None
