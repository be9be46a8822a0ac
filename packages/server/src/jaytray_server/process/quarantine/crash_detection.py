"""Decides whether a failed dispatch was caused by a crash of its target.

A connection that broke while a request was in flight is not proof of a crash, because
the network may have failed. The target is therefore asked for its boot id, which
changes at a restart after a crash.
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

    A restarting engine may already accept connections and refuse its load report,
    which counts as a crash. An engine that does not respond in time counts as not
    crashed, and so does one that reports while `boot_id` is empty.
    """
    try:
        report = await _report(connection)
    except TimeoutError:
        return False
    except JaytrayError as err:
        return err.code != messages.TARGET_TIMEOUT.code
    return bool(boot_id) and report.boot_id != boot_id


async def is_service_down(connection: TargetConnection) -> bool:
    """Return whether a plain service, which has no load report, is unreachable."""
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
