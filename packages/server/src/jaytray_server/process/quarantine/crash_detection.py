"""Whether a failed dispatch means that its target crashed.

A connection that broke while a request was in flight is not yet a crash: the path
may have been cut. The target is asked for its boot id, which a crash changes.
"""

import asyncio

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError
from jaytray_core.targets import LoadReport, TargetConnection

PROBE_TIMEOUT_S = 0.5

_BROKEN_CODES = frozenset(
    (messages.TARGET_UNREACHABLE.code, messages.ANSWER_INCOMPLETE.code)
)


def is_broken_connection(error: JaytrayError) -> bool:
    """Return whether a connection broke while a request was in flight on it."""
    return error.execution is Execution.MAY_HAVE_RUN and error.code in _BROKEN_CODES


async def has_crashed(connection: TargetConnection, boot_id: str) -> bool:
    """Return whether a model engine is down or no longer runs as `boot_id`.

    A restarting engine may already listen and refuse its load report. With an empty
    `boot_id` an engine that reports counts as not crashed; so does a silent one.
    """
    try:
        report = await _report(connection)
    except TimeoutError:
        return False
    except JaytrayError as err:
        return err.code != messages.TARGET_TIMEOUT.code
    return bool(boot_id) and report.boot_id != boot_id


async def is_service_down(connection: TargetConnection) -> bool:
    """Return whether a plain service, which has no load report, refuses to connect."""
    try:
        await _report(connection)
    except TimeoutError:
        return False
    except JaytrayError as err:
        return err.code == messages.TARGET_UNREACHABLE.code
    return False


async def _report(connection: TargetConnection) -> LoadReport:
    async with asyncio.timeout(PROBE_TIMEOUT_S):
        return await connection.load_report()
