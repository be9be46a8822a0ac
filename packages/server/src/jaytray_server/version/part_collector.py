"""Collects the parts of a new head from the key-value service and from other VMs.

Parts are requested first from VMs known to run the version. Only missing parts are
kept, and each is stored under the digest computed from its bytes.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from jaytray_core.document.part_store import part_key, run_for_each, strip_timestamp
from jaytray_core.document.parts import Head, digest_of
from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_core.tasks import wait_until_set
from jaytray_server.version.held_version import HeldVersion

SERVICE_SOURCE = "kv"
# Time without a reply after which parts are requested from the next VM.
PEER_PARTS_TIMEOUT_S = 0.25
# Delay before parts that no source had are requested again, doubled each time.
FIRST_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 2.0

# (VM id, digests) -> False if the VM is known to be unreachable.
AskParts = Callable[[str, set[str]], bool]
# (key) -> value; raises `JaytrayError`.
ReadPart = Callable[[str], Awaitable[bytes]]


class PartCollector:
    """Fetches the missing parts of one head at a time."""

    def __init__(
        self,
        *,
        held: HeldVersion,
        ask_parts: AskParts,
        read_part: ReadPart,
        neighbours: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        self._held = held
        self._ask_parts = ask_parts
        self._read_part = read_part
        self._neighbours = neighbours
        self._rng = rng
        self._missing: set[str] = set()
        self._body_digest = ""
        self._holders: list[str] = []
        self._changed = asyncio.Event()
        self.parts_by_digest: dict[str, bytes] = {}

    def start(self, head: Head, source: str) -> None:
        """Start to collect parts for `head`; parts collected before are kept."""
        self._body_digest = head.body_digest
        self._update_missing()
        self._holders = [] if source == SERVICE_SOURCE else [source]
        self._changed.set()

    def add_holder(self, vm_id: str) -> None:
        """Record that a VM runs the version that is being fetched."""
        if vm_id not in self._holders:
            self._holders.append(vm_id)
            self._changed.set()

    def clear(self) -> None:
        """Drop the collected parts; called once their head is in force."""
        self.parts_by_digest = {}

    def accept(self, data: bytes) -> None:
        """Store a part if it is missing; anything else is ignored."""
        digest = digest_of(data)
        if digest not in self._missing:
            return
        self._missing.discard(digest)
        self.parts_by_digest[digest] = data
        if digest == self._body_digest:
            self._update_missing()
        self._changed.set()

    async def run(self) -> None:
        """Request missing parts until all have been collected."""
        delay_s = FIRST_RETRY_DELAY_S
        while self._missing:
            if not self._holders:
                await self._read_service()
            await self._ask_vms()
            if self._holders:
                await self._read_service()
            if self._missing:
                await self._wait_for_change(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    @property
    def _has_manifest(self) -> bool:
        return self._body_digest not in self._missing

    def _update_missing(self) -> None:
        """Recompute the missing parts; a malformed manifest is rejected on adoption."""
        found = self.parts_by_digest
        try:
            self._missing = self._held.missing_parts(self._body_digest, found)
        except JaytrayError:
            self._missing = set()

    async def _read_service(self) -> None:
        """Read missing parts; the manifest is read first, as it lists the others."""
        while self._missing:
            before = self._missing.copy()
            try:
                await run_for_each(sorted(before), self._fetch_part)
            except JaytrayError as err:
                get_logger().warning(
                    "document_part_failed", peer=SERVICE_SOURCE, code=err.code
                )
                return
            if self._missing == before:
                return

    async def _fetch_part(self, digest: str) -> None:
        self.accept(strip_timestamp(await self._read_part(part_key(digest))))

    async def _ask_vms(self) -> None:
        asked: set[str] = set()
        while self._missing:
            vm_id = self._next_vm(asked)
            if vm_id is None:
                return
            asked.add(vm_id)
            had_manifest = self._has_manifest
            if self._ask_parts(vm_id, self._missing):
                await self._wait_while_parts_arrive()
            if self._has_manifest != had_manifest:
                asked.clear()

    def _next_vm(self, asked: set[str]) -> str | None:
        holders = [vm for vm in self._holders if vm not in asked]
        if holders:
            return holders[0]
        others = [vm for vm in self._neighbours() if vm not in asked]
        return self._rng.choice(others) if others else None

    async def _wait_while_parts_arrive(self) -> None:
        """Wait until parts stop arriving, or a new holder or the manifest is known."""
        before = (len(self._holders), self._has_manifest)
        while self._missing and (len(self._holders), self._has_manifest) == before:
            if not await self._wait_for_change(PEER_PARTS_TIMEOUT_S):
                return

    async def _wait_for_change(self, timeout_s: float) -> bool:
        """Wait for a part or a holder; returns False on timeout."""
        self._changed.clear()
        return await wait_until_set(self._changed, timeout_s)
