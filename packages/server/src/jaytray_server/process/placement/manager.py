"""Runs the placement groups for which this VM is a candidate.

For each group, the first few VMs in its rendezvous order compete for the lease; the
others do nothing for it. That spreads the work of placement over the VMs, and any of
them can be replaced. Groups are derived from the document in force.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.document.model import Document
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.tasks import cancel_all
from jaytray_core.weight_store import WeightStore
from jaytray_server.ports import CurrentDocument, GetTargetConnection, PeerNetwork
from jaytray_server.process.decision_log import DecisionLog
from jaytray_server.process.demand import DemandMeter
from jaytray_server.process.placement.changes import PlanSettings
from jaytray_server.process.placement.executor import GroupConfig, GroupController
from jaytray_server.process.placement.groups import Group, lease_candidates, make_groups
from jaytray_server.process.placement.pacing import LoadLimits
from jaytray_server.process.target_table import TargetTable

TOPIC = "placement_wanted"
CHECK_PERIOD_S = 2.0
STATUS_PERIOD_S = 60.0
DEFAULT_LOAD_LIMITS = LoadLimits(loads_per_second=1.0, concurrent_loads=2)

Sleep = Callable[[float], Awaitable[None]]


class AdapterRequest(NamedTuple):
    """Asks the controllers of `group` to load an adapter that a request waits for."""

    group: str
    adapter: str
    target: str


class PlacementManager:
    """Runs a `GroupController` for each group that this VM is a candidate for.

    Run `run()` as one task for the lifetime of the process. When the VM leaves,
    cancel it before anything else, which releases the leases.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        key_value: KeyValueService,
        peers: PeerNetwork,
        connection_to: GetTargetConnection,
        current_document: CurrentDocument,
        weight_store: WeightStore,
        table: TargetTable,
        demand: DemandMeter,
        clock: MonotonicClock,
        sleep: Sleep = asyncio.sleep,
        settings: PlanSettings = PlanSettings(),
        decisions: DecisionLog | None = None,
    ) -> None:
        self._vm_id = vm_id
        self._key_value = key_value
        self._peers = peers
        self._connection_to = connection_to
        self._current_document = current_document
        self._weight_store = weight_store
        self._table = table
        self._demand = demand
        self._clock = clock
        self._sleep = sleep
        self._settings = settings
        self._decisions = decisions or DecisionLog()
        self._limits = DEFAULT_LOAD_LIMITS
        self._limits_read_at_s = float("-inf")
        self._document: Document | None = None
        self._groups_by_name: dict[str, Group] = {}
        self._controllers_by_group: dict[str, GroupController] = {}
        self._tasks_by_group: dict[str, asyncio.Task[None]] = {}
        peers.set_handler(TOPIC, self._handle_adapter_request)

    async def run(self) -> None:
        """Follow the document and the list of VMs until cancelled."""
        try:
            while True:
                await self._refresh_load_limits()
                self.update_controllers()
                await self._sleep(CHECK_PERIOD_S)
        finally:
            await cancel_all(self._tasks_by_group.values())

    def held_groups(self) -> list[str]:
        """Return the groups whose lease this VM holds."""
        return [
            name
            for name, controller in self._controllers_by_group.items()
            if controller.lease.is_valid()
        ]

    def request_adapter(self, adapter: str, target: str) -> None:
        """Ask the controllers of an adapter's group to load it, preferably on `target`.

        A lost message only delays the load until the measured demand calls for it.
        """
        document = self._current_document()
        declared = document.adapters_by_name.get(adapter)
        if declared is None:
            return
        for group in self._groups().values():
            if declared.model not in group.models:
                continue
            message = AdapterRequest(group.name, adapter, target)
            for vm_id in lease_candidates(group.name, self._members()):
                if vm_id == self._vm_id:
                    self._deliver_request(message)
                else:
                    self._peers.send(vm_id, TOPIC, encode_msgpack(message))

    def update_controllers(self) -> None:
        """Start and stop controllers to match the current groups and VMs."""
        wanted = {
            name
            for name in self._groups()
            if self._vm_id in lease_candidates(name, self._members())
        }
        for name in set(self._tasks_by_group) - wanted:
            self._tasks_by_group.pop(name).cancel()
            del self._controllers_by_group[name]
        for name in wanted - set(self._tasks_by_group):
            controller = self._make_controller(name)
            self._controllers_by_group[name] = controller
            self._tasks_by_group[name] = asyncio.create_task(controller.run())

    def _make_controller(self, name: str) -> GroupController:
        return GroupController(
            group=name,
            vm_id=self._vm_id,
            key_value=self._key_value,
            connection_to=self._connection_to,
            current_document=self._current_document,
            current_config=lambda: self._group_config(name),
            table=self._table,
            demand=self._demand,
            clock=self._clock,
            sleep=self._sleep,
            settings=self._settings,
            decisions=self._decisions,
        )

    def _group_config(self, name: str) -> GroupConfig:
        groups = self._groups()
        group = groups.get(name) or Group(name, frozenset(), frozenset())
        group_count = max(1, len(groups))
        limits = LoadLimits(
            self._limits.loads_per_second / group_count,
            max(1, self._limits.concurrent_loads // group_count),
            max(1, self._limits.concurrent_adapter_loads // group_count),
        )
        return GroupConfig(group, limits)

    def _groups(self) -> dict[str, Group]:
        document = self._current_document()
        if document is not self._document:
            self._document = document
            self._groups_by_name = make_groups(document)
        return self._groups_by_name

    def _members(self) -> list[str]:
        return sorted({*self._peers.listed_vms(), self._vm_id})

    def _deliver_request(self, message: AdapterRequest) -> None:
        controller = self._controllers_by_group.get(message.group)
        if controller is not None:
            controller.request_adapter(message.adapter, message.target)

    def _handle_adapter_request(self, sender: str, body: bytes) -> None:
        try:
            message = decode_msgpack(body, AdapterRequest, peer=sender)
        except JaytrayError as err:
            get_logger().warning("wanted_adapter_dropped", peer=sender, code=err.code)
            return
        self._deliver_request(message)

    async def _refresh_load_limits(self) -> None:
        if self._clock() - self._limits_read_at_s < STATUS_PERIOD_S:
            return
        try:
            status = await self._weight_store.status()
        except JaytrayError as err:
            get_logger().warning("weight_store_status_failed", code=err.code)
            return
        self._limits_read_at_s = self._clock()
        self._limits = LoadLimits(status.loads_per_second, status.concurrent_loads)
