"""Protection of targets from requests that crash them.

A suspicion is sent to all VMs and stored in the key-value service before the failure is
returned to the caller, because the caller may retry immediately through another VM.
"""

import asyncio
import hashlib
from collections.abc import Callable, Iterator
from contextlib import AbstractAsyncContextManager, contextmanager

from jaytray_core import message_registry as messages
from jaytray_core.clock import WallClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.targets import TargetConnection
from jaytray_server.ports import PeerNetwork
from jaytray_server.process.quarantine.crash_detection import (
    has_crashed,
    is_broken_connection,
    is_service_down,
)
from jaytray_server.process.quarantine.evidence import CrashReport, Evidence, Suspect
from jaytray_server.process.quarantine.exclusive_runs import ExclusiveRuns
from jaytray_server.process.quarantine.in_flight import InFlightRequests
from jaytray_server.process.quarantine.messages import (
    CLEAR_TOPIC,
    CRASH_TOPIC,
    ClearMessage,
)
from jaytray_server.process.quarantine.store import (
    delete_suspect,
    read_suspects,
    write_suspects,
)

SYNC_INTERVAL_S = 10.0
REBROADCAST_DELAY_S = 0.5
# Failures at one target within this many seconds are attributed to one crash.
SAME_CRASH_WINDOW_S = 3.0

_log = get_logger()


def digest_request(path: str, body: bytes) -> str:
    """Return the digest that identifies a request; empty if it has no body."""
    if not body:
        return ""
    hasher = hashlib.blake2b(path.encode() + b"\0", digest_size=16)
    hasher.update(body)
    return hasher.hexdigest()


class Quarantine:
    """Suspected and quarantined requests known to this VM."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        key_value: KeyValueService,
        wall_clock: WallClock,
        boot_id_of: Callable[[str], str],
    ) -> None:
        self._peers = peers
        self._key_value = key_value
        self._wall_clock = wall_clock
        self._boot_id_of = boot_id_of
        self._evidence = Evidence(wall_clock=wall_clock)
        self._in_flight = InFlightRequests()
        self._exclusive_runs = ExclusiveRuns(key_value=key_value, vm_id=peers.vm_id)
        self._own_crashes: set[str] = set()
        self._checks_by_target: dict[str, asyncio.Task[bool]] = {}
        self._last_crash_by_target: dict[str, tuple[str, float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register_handlers(self) -> None:
        """Start to receive the messages of other VMs."""
        self._peers.set_handler(CRASH_TOPIC, self._on_crash)
        self._peers.set_handler(CLEAR_TOPIC, self._on_clear)

    def check_suspect(self, digest: str) -> bool:
        """Return whether `digest` is a suspect; raises `request_quarantined`."""
        suspect = self._evidence.find(digest) if digest else None
        if suspect is None:
            return False
        if suspect.is_quarantined:
            raise JaytrayError(
                messages.REQUEST_QUARANTINED,
                step=Step.DISPATCH,
                retry_after_s=max(1.0, suspect.until_s - self._wall_clock()),
                crashes=len(suspect.crash_ids),
            )
        return True

    def exclusive_run(
        self, digest: str, target: str
    ) -> AbstractAsyncContextManager[None]:
        """Return the context for a suspect's run; see `ExclusiveRuns.hold_locks`."""
        saw_crash = digest in self._own_crashes
        return self._exclusive_runs.hold_locks(digest, target, saw_crash=saw_crash)

    @contextmanager
    def in_flight(self, target: str, digest: str) -> Iterator[None]:
        """Count a request as in flight at `target` during the block."""
        if not digest:
            yield
            return
        with self._in_flight.track(target, digest):
            yield

    async def handle_dispatch_failure(
        self, connection: TargetConnection, error: JaytrayError, boot_id: str | None
    ) -> None:
        """Determine whether the target crashed, and notify all VMs if it did.

        Must be called within `in_flight`, before the failure is returned to the caller.
        `boot_id` is the result of `boot_id_of` before the dispatch, or None for a plain
        service.
        """
        if not is_broken_connection(error):
            return
        target = connection.target
        check = self._checks_by_target.get(target)
        if check is None:
            digests = self._in_flight.digests_at(target)
            check = asyncio.create_task(
                self._check_for_crash(connection, boot_id, digests)
            )
            self._checks_by_target[target] = check
            check.add_done_callback(lambda _: self._checks_by_target.pop(target, None))
        await asyncio.shield(check)

    def boot_id_of(self, target: str) -> str:
        """Return the last known boot id of `target`, or an empty string."""
        return self._boot_id_of(target)

    async def record_complete_response(self, digest: str) -> None:
        """Clear a suspect that got a complete response."""
        if digest and self._evidence.find(digest) is not None:
            _log.info("suspect_cleared", digest=digest)
            await self.lift(digest)

    async def lift(self, digest: str) -> None:
        """Drop the evidence about `digest` on all VMs."""
        suspect = self._evidence.find(digest)
        crash_ids = suspect.crash_ids if suspect is not None else ()
        self._own_crashes.discard(digest)
        self._evidence.clear(digest, crash_ids)
        try:
            await delete_suspect(self._key_value, digest)
        except JaytrayError as err:
            _log.warning("quarantine_not_deleted", digest=digest, error=str(err))
        self._broadcast(CLEAR_TOPIC, encode_msgpack(ClearMessage(digest, crash_ids)))

    def list_suspects(self) -> list[Suspect]:
        """Return all suspected and quarantined requests, sorted by digest."""
        return self._evidence.list_suspects()

    async def run(self) -> None:
        """Merge the stored suspects periodically until cancelled."""
        while True:
            try:
                for suspect in await read_suspects(self._key_value):
                    self._evidence.merge(suspect)
            except JaytrayError as err:
                _log.info("quarantine_not_read", error=str(err))
            await asyncio.sleep(SYNC_INTERVAL_S)

    async def _check_for_crash(
        self, connection: TargetConnection, boot_id: str | None, digests: list[str]
    ) -> bool:
        if boot_id is None:
            is_crash = await is_service_down(connection)
        else:
            is_crash = await has_crashed(connection, boot_id)
        if not is_crash:
            return False
        crash_id = self._crash_id(connection.target, boot_id or "")
        report = self._evidence.report_crash(crash_id, digests)
        self._own_crashes.update(report.blamed)
        _log.warning(
            "target_crashed",
            target=connection.target,
            crash_id=crash_id,
            blamed=",".join(report.blamed),
            exonerated=len(report.exonerated),
        )
        self._broadcast(CRASH_TOPIC, encode_msgpack(report))
        found = [self._evidence.find(digest) for digest in report.blamed]
        await write_suspects(self._key_value, [s for s in found if s is not None])
        return True

    def _crash_id(self, target: str, boot_id: str) -> str:
        now_s = self._wall_clock()
        crash_id = f"{target}/{boot_id}"
        last_id, last_s = self._last_crash_by_target.get(target, ("", 0.0))
        if last_id and now_s - last_s < SAME_CRASH_WINDOW_S:
            return last_id
        if not boot_id or last_id == crash_id:
            crash_id = f"{target}/{boot_id}/{now_s:.0f}"
        self._last_crash_by_target[target] = (crash_id, now_s)
        return crash_id

    def _broadcast(self, topic: str, body: bytes) -> None:
        self._peers.broadcast(topic, body)
        task = asyncio.create_task(self._rebroadcast(topic, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _rebroadcast(self, topic: str, body: bytes) -> None:
        await asyncio.sleep(REBROADCAST_DELAY_S)
        self._peers.broadcast(topic, body)

    def _on_crash(self, sender: str, body: bytes) -> None:
        self._evidence.apply(decode_msgpack(body, CrashReport, peer=sender))

    def _on_clear(self, sender: str, body: bytes) -> None:
        message = decode_msgpack(body, ClearMessage, peer=sender)
        self._evidence.clear(message.digest, message.crash_ids)
        if self._evidence.find(message.digest) is None:
            self._own_crashes.discard(message.digest)
