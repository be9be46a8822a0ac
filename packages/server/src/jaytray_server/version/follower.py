"""Keeps this VM on the newest version of its environment's document.

Heads come from the key-value service (a watch, and a timer behind it) and from other
VMs, whichever is first. The highest head wanted is fetched part by part, from where
the head came and then from elsewhere, built as a whole and only then put in force.
"""

import asyncio
import random
from collections.abc import Callable

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock, monotonic_clock
from jaytray_core.document.model import Document
from jaytray_core.document.part_store import part_key, strip_time
from jaytray_core.document.parts import Head, digest_of
from jaytray_core.document.status import DocumentStatus
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_server.ports import Metrics, PeerNetwork
from jaytray_server.process.metrics import make_null_metrics
from jaytray_server.version.held import HeldVersion, Verdict
from jaytray_server.version.peer_exchange import PeerExchange
from jaytray_server.version.service_reader import ServiceReader

# Period at which one neighbour is told the version in force.
ANNOUNCE_PERIOD_S = 2.0
# How long asked peers may take to send parts.
PEER_PARTS_TIMEOUT_S = 0.5
# Pauses before parts that nobody could give are asked for again, doubled each time.
FETCH_PAUSE_S = 0.25
MAX_FETCH_PAUSE_S = 2.0

# Takes the new document, after it is in force.
ChangeCallback = Callable[[Document], None]


class DocumentFollower:
    """The document in force on this VM.

    Run it as one task for the life of the process: `asyncio.create_task(f.run())`;
    cancel the task to stop. `current` may be called at any time and returns version 0
    until a document was found. Callbacks run in the event loop and must not block.
    """

    def __init__(
        self,
        *,
        environment: str,
        key_value: KeyValueService,
        peers: PeerNetwork,
        clock: MonotonicClock = monotonic_clock,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._peers = peers
        self._metrics = metrics or make_null_metrics()
        self._rng = rng or random.Random()
        self._held = HeldVersion(environment=environment)
        self._wanted: tuple[Head, str] | None = None
        self._wanted_changed = asyncio.Event()
        self._missing: set[str] = set()
        self._new_parts: dict[str, bytes] = {}
        self._parts_changed = asyncio.Event()
        self._callbacks: list[ChangeCallback] = []
        self._rejected: tuple[int, str] = (0, "")
        self._alarms = 0
        self._reader = ServiceReader(
            environment=environment,
            key_value=key_value,
            offer_head=self._offer,
            clock=clock,
            rng=self._rng,
        )
        self._exchange = PeerExchange(
            held=self._held,
            peers=peers,
            offer_head=self._offer,
            report_contradiction=self._report_contradiction,
            accept_part=self._accept_part,
        )

    def current(self) -> Document:
        """Return the document in force; version 0 when there is none yet."""
        return self._held.document

    def on_change(self, callback: ChangeCallback) -> None:
        """Call `callback` with each new document, in the order of versions."""
        self._callbacks.append(callback)

    def service_age_s(self) -> float:
        """Return seconds since the key-value service last answered, -1 if never."""
        return self._reader.age_s()

    def status(self) -> DocumentStatus:
        """Return what `GET /admin/status` tells of the document."""
        return {
            "vm_id": self._peers.vm_id,
            "environment": self._held.environment,
            "document_version": self._held.version,
            "body_digest": self._held.body_digest,
            "rejected_version": self._rejected[0],
            "alarms": self._alarms,
            "service_age_s": self._reader.age_s(),
        }

    async def run(self) -> None:
        """Follow the environment until cancelled."""
        self._exchange.attach()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._reader.run_timer())
            tasks.create_task(self._reader.run_watch())
            tasks.create_task(self._run_announcements())
            tasks.create_task(self._run_fetches())

    async def _run_announcements(self) -> None:
        while True:
            neighbours = self._peers.neighbours() or self._peers.listed_vms()
            if self._held.version and neighbours:
                neighbours = [self._rng.choice(neighbours)]
            self._exchange.announce_to(neighbours)
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _run_fetches(self) -> None:
        while True:
            await self._wanted_changed.wait()
            self._wanted_changed.clear()
            pause = FETCH_PAUSE_S
            while self._wanted is not None:
                head, peer = self._wanted
                if await self._fetch_parts(head, peer):
                    self._adopt(head, peer)
                elif self._wanted == (head, peer):
                    await asyncio.sleep(pause)
                    pause = min(2 * pause, MAX_FETCH_PAUSE_S)

    def _offer(self, head: Head, peer: str) -> None:
        """Consider a head that was found at `peer`."""
        verdict = self._held.judge(head.version, head.body_digest)
        if verdict is Verdict.CONTRADICTORY:
            self._report_contradiction(head.version, peer)
        if verdict is Verdict.OLDER:
            self._metrics.increment("document.older_head", 1)
        if verdict is not Verdict.NEWER or self._is_rejected(head):
            return
        if self._wanted is not None and self._wanted[0].version >= head.version:
            return
        self._wanted = (head, peer)
        self._wanted_changed.set()

    async def _fetch_parts(self, head: Head, peer: str) -> bool:
        """Collect the parts that `head` needs; returns whether all are here."""
        self._missing = self._held.missing_parts(head)
        self._new_parts = {
            digest: data
            for digest, data in self._new_parts.items()
            if digest in self._missing
        }
        self._missing -= self._new_parts.keys()
        steps = [self._ask_peers, self._read_service]
        for step in steps if peer != "kv" else reversed(steps):
            if self._missing:
                await step(peer)
        return not self._missing

    async def _read_service(self, _peer: str) -> None:
        for digest in sorted(self._missing):
            try:
                value = await self._reader.read_part(part_key(digest))
            except JaytrayError as err:
                get_logger().warning("document_part_failed", peer="kv", code=err.code)
                return
            self._accept_part(digest_of(strip_time(value)), strip_time(value))

    async def _ask_peers(self, peer: str) -> None:
        candidates = [vm for vm in self._peers.neighbours() if vm != peer]
        self._rng.shuffle(candidates)
        if peer != "kv":
            candidates.insert(0, peer)
        for vm_id in candidates:
            if not self._missing:
                return
            if self._exchange.ask_parts(vm_id, self._missing):
                await self._wait_for_parts()

    async def _wait_for_parts(self) -> None:
        """Wait until nothing is missing or nothing more arrives."""
        while self._missing:
            self._parts_changed.clear()
            try:
                async with asyncio.timeout(PEER_PARTS_TIMEOUT_S):
                    await self._parts_changed.wait()
            except TimeoutError:
                return

    def _accept_part(self, digest: str, data: bytes) -> None:
        if digest in self._missing:
            self._missing.discard(digest)
            self._new_parts[digest] = data
            self._parts_changed.set()

    def _adopt(self, head: Head, peer: str) -> None:
        if self._wanted is not None and self._wanted[0].version <= head.version:
            self._wanted = None
        try:
            self._held.adopt(head, self._new_parts, peer=peer)
        except JaytrayError as err:
            self._reject(head, peer, err)
            return
        self._new_parts = {}
        get_logger().info(
            "document_in_force",
            environment=head.environment,
            version=head.version,
            body_digest=head.body_digest,
            source=peer,
        )
        self._metrics.gauge("document.version", head.version)
        self._exchange.announce_to(self._peers.neighbours())
        self._call_back()

    def _call_back(self) -> None:
        document = self._held.document
        for callback in self._callbacks:
            try:
                callback(document)
            except Exception:
                self._raise_alarm("document_callback_failed", document.version, "")

    def _is_rejected(self, head: Head) -> bool:
        return (head.version, head.body_digest) == self._rejected

    def _reject(self, head: Head, peer: str, err: JaytrayError) -> None:
        self._rejected = (head.version, head.body_digest)
        self._raise_alarm("document_rejected", head.version, peer, detail=err.text)

    def _report_contradiction(self, version: int, peer: str) -> None:
        self._raise_alarm(
            "document_contradictory",
            version,
            peer,
            detail=messages.DOCUMENT_CONTRADICTORY.text,
        )

    def _raise_alarm(
        self, event: str, version: int, peer: str, detail: str = ""
    ) -> None:
        self._alarms += 1
        self._metrics.increment("document.alarm", 1)
        get_logger().error(event, version=version, peer=peer, detail=detail)
