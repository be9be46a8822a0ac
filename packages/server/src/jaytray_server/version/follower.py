"""Keeps this VM on the newest version of its environment's document.

Heads arrive from the key-value service (by a watch, with a timer as a fallback) and
from other VMs. The head with the highest version is fetched part by part, first from
the source of the head and then from others. The document is built as a whole and only
then put in force.
"""

import asyncio
import random
from collections.abc import Callable

from jaytray_core import document_messages
from jaytray_core.clock import MonotonicClock, monotonic_clock
from jaytray_core.document.model import Document
from jaytray_core.document.parts import Head
from jaytray_core.document.status import DocumentStatus
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_server.ports import Metrics, PeerNetwork
from jaytray_server.process.metrics import make_null_metrics
from jaytray_server.version.held_version import HeadComparison, HeldVersion
from jaytray_server.version.part_collector import SERVICE_SOURCE, PartCollector
from jaytray_server.version.peer_exchange import PeerExchange
from jaytray_server.version.service_reader import ServiceReader

# Interval between announcements of the version in force, each to one neighbour.
ANNOUNCE_PERIOD_S = 2.0

# A head from another VM is dropped if its parts cannot be fetched within this time, so
# that it does not block lower versions; a VM that runs it announces it again.
PEER_HEAD_TIMEOUT_S = 3.0

# Called with the new document once it is in force.
ChangeCallback = Callable[[Document], None]


class DocumentFollower:
    """The document in force on this VM, kept up to date.

    Run `run()` as one task for the lifetime of the process and cancel the task to stop.
    `current` may be called at any time and returns version 0 until a document has been
    found. Callbacks run in the event loop and must not block.
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
        self._callbacks: list[ChangeCallback] = []
        self._rejected: tuple[int, str] = (0, "")
        self._alarms = 0
        self._reader = ServiceReader(
            environment=environment,
            key_value=key_value,
            offer_head=self._consider_head,
            clock=clock,
            rng=self._rng,
        )
        self._exchange = PeerExchange(
            held=self._held,
            peers=peers,
            offer_head=self._consider_head,
            report_contradiction=self._report_contradiction,
            accept_part=self._accept_part,
        )
        self._collector = PartCollector(
            held=self._held,
            ask_parts=self._exchange.ask_parts,
            read_part=self._reader.read_part,
            neighbours=peers.neighbours,
            rng=self._rng,
        )

    def current(self) -> Document:
        """Return the document in force, version 0 if there is none yet."""
        return self._held.document

    def on_change(self, callback: ChangeCallback) -> None:
        """Call `callback` with each new document, in order of version."""
        self._callbacks.append(callback)

    def service_age_s(self) -> float:
        """Return the seconds since the service's last response, -1 if there is none."""
        return self._reader.age_s()

    def status(self) -> DocumentStatus:
        """Return the document's fields of `GET /admin/status`."""
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
        self._exchange.register_handlers()
        if self._wanted is not None:
            self._wanted_changed.set()
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
            if self._wanted is not None:
                await self._fetch(*self._wanted)

    async def _fetch(self, head: Head, source: str) -> None:
        """Collect the parts of `head` and adopt it, or stop if a newer head arrives."""
        self._collector.start(head, source)
        collecting = asyncio.ensure_future(self._collector.run())
        newer = asyncio.ensure_future(self._wanted_changed.wait())
        try:
            done, _ = await asyncio.wait(
                (collecting, newer),
                return_when=asyncio.FIRST_COMPLETED,
                timeout=None if source == SERVICE_SOURCE else PEER_HEAD_TIMEOUT_S,
            )
            if collecting.done():
                collecting.result()
                self._adopt(head, source)
        finally:
            collecting.cancel()
            newer.cancel()
        if not done:
            self._wanted = None

    def _consider_head(self, head: Head, source: str) -> None:
        """Fetch a head that was found at `source`, if it is newer than those known."""
        comparison = self._held.compare(head.version, head.body_digest)
        if comparison is HeadComparison.CONTRADICTORY:
            self._report_contradiction(head.version, source)
        if comparison is HeadComparison.OLDER:
            self._metrics.increment("document.older_head", 1)
        if comparison is not HeadComparison.NEWER or self._is_rejected(head):
            return
        wanted = self._wanted[0] if self._wanted is not None else None
        if wanted is None or head.version > wanted.version:
            self._set_wanted(head, source)
        elif head.version == wanted.version:
            self._consider_same_version(wanted, head, source)

    def _consider_same_version(self, wanted: Head, head: Head, source: str) -> None:
        """Handle another offer of the version that is being fetched.

        If the bodies differ, the one in the key-value service is used.
        """
        if head.body_digest != wanted.body_digest:
            self._report_contradiction(head.version, source)
            if source == SERVICE_SOURCE:
                self._set_wanted(head, source)
        elif source != SERVICE_SOURCE:
            self._collector.add_holder(source)

    def _set_wanted(self, head: Head, source: str) -> None:
        self._wanted = (head, source)
        self._wanted_changed.set()

    def _accept_part(self, data: bytes) -> None:
        self._collector.accept(data)

    def _adopt(self, head: Head, peer: str) -> None:
        if self._wanted is not None and self._wanted[0].version <= head.version:
            self._wanted = None
        try:
            self._held.adopt(head, self._collector.parts_by_digest, peer=peer)
        except JaytrayError as err:
            self._reject(head, peer, err)
            return
        self._collector.clear()
        get_logger().info(
            "document_in_force",
            environment=head.environment,
            version=head.version,
            body_digest=head.body_digest,
            source=peer,
        )
        self._metrics.gauge("document.version", head.version)
        self._exchange.announce_to(self._peers.neighbours())
        self._run_callbacks()

    def _run_callbacks(self) -> None:
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
            detail=document_messages.DOCUMENT_CONTRADICTORY.text,
        )

    def _raise_alarm(
        self, event: str, version: int, peer: str, detail: str = ""
    ) -> None:
        self._alarms += 1
        self._metrics.increment("document.alarm", 1)
        get_logger().error(event, version=version, peer=peer, detail=detail)
