"""Builds what keeps the directory's copy up to date, from the store and from hubs."""

import random

from jaytray_core.clock import MonotonicClock
from jaytray_core.keyvalue import KeyValueService
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.directory_exchange import DirectoryExchange
from jaytray_gateway.process.fleet_topology import FleetTopology
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.options import GatewayOptions
from jaytray_gateway.process.store_calls import for_purpose
from jaytray_gateway.process.store_follower import StoreFollower
from jaytray_gateway.process.store_reach import StoreReach
from jaytray_gateway.process.table_exchange import TableExchange
from jaytray_server.ports import PeerNetwork


def make_store_follower(
    *,
    options: GatewayOptions,
    adapter: PlatformAdapter,
    directory: Directory,
    key_value: KeyValueService,
    reach: StoreReach,
    peers: PeerNetwork,
    topology: FleetTopology,
    metrics: GatewayMetrics,
    clock: MonotonicClock,
    rng: random.Random,
) -> StoreFollower:
    """Return the follower of the store, with the exchanges between members."""
    return StoreFollower(
        directory=directory,
        key_value=for_purpose(key_value, "directory"),
        clock=clock,
        rng=rng,
        bound_s=options.change_s,
        reach=reach,
        exchange=DirectoryExchange(
            peers=peers,
            directory=directory,
            hubs=topology.directory_hubs,
            clock=clock,
            rng=rng,
            bound_s=options.change_s,
        ),
        tables=TableExchange(
            peers=peers,
            directory=directory,
            key=adapter.route_table_key,
            hubs=topology.directory_hubs,
            clock=clock,
            rng=rng,
            bound_s=options.change_s,
        ),
        count_update=metrics.count_directory_update,
    )
