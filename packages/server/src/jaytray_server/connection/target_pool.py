"""Connections to declared targets and services, one pool for each address.

A pool is created on first use. When the address of a target changes in the document,
the old pool gets no new requests and is closed after the longest possible response.
"""

import asyncio
from collections.abc import Callable

from jaytray_core.targets import TargetConnection
from jaytray_server.ports import CurrentDocument

# Delay before a retired pool is closed; longer than the longest response.
RETIRED_POOL_CLOSE_DELAY_S = 900.0

# (name, address) -> a connection pool.
Connect = Callable[[str, str], TargetConnection]


class TargetPools:
    """The open connection pools, by target name or by service address."""

    def __init__(self, *, current_document: CurrentDocument, connect: Connect) -> None:
        self._current_document = current_document
        self._connect = connect
        self._addresses_by_target: dict[str, str] = {}
        self._pools_by_target: dict[str, TargetConnection] = {}
        self._pools_by_address: dict[str, TargetConnection] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def pool_for_target(self, name: str) -> TargetConnection | None:
        """Return the pool of a target, or None if the document does not declare it."""
        target = self._current_document().targets_by_name.get(name)
        if target is None:
            self._retire_target(name)
            return None
        if self._addresses_by_target.get(name) != target.address:
            self._retire_target(name)
            self._addresses_by_target[name] = target.address
            self._pools_by_target[name] = self._connect(name, target.address)
        return self._pools_by_target[name]

    def pool_for_address(self, address: str) -> TargetConnection | None:
        """Return the pool of a plain service's address."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = self._pools_by_address[address] = self._connect(address, address)
        return pool

    def retire_undeclared(self) -> None:
        """Retire pools that the document no longer needs; call on each change."""
        document = self._current_document()
        for name in self._pools_by_target.keys() - document.targets_by_name.keys():
            self._retire_target(name)
        declared = {
            address
            for service in document.services_by_name.values()
            for address in service.addresses
        }
        for address in self._pools_by_address.keys() - declared:
            self._close_later(self._pools_by_address.pop(address))

    async def close(self) -> None:
        """Close every pool immediately, when the process ends."""
        for task in self._closing:
            task.cancel()
        pools = [*self._pools_by_target.values(), *self._pools_by_address.values()]
        await asyncio.gather(*(pool.close() for pool in pools), return_exceptions=True)

    def _retire_target(self, name: str) -> None:
        self._addresses_by_target.pop(name, None)
        pool = self._pools_by_target.pop(name, None)
        if pool is not None:
            self._close_later(pool)

    def _close_later(self, pool: TargetConnection) -> None:
        task = asyncio.create_task(_close_after(pool, RETIRED_POOL_CLOSE_DELAY_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _close_after(pool: TargetConnection, delay_s: float) -> None:
    try:
        await asyncio.sleep(delay_s)
    finally:
        await pool.close()
