"""Demand by replica and used replicas, which hubs send to the placement leader."""

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_gateway.process.demand_average import add_rates
from jaytray_gateway.process.hub_sums import HubDemand
from jaytray_gateway.process.latest_messages import LatestMessages
from jaytray_gateway.process.load_view import LoadView
from jaytray_server.ports import PeerNetwork

# Time for which a hub's rates count at the leader. Longer than it takes the group to
# turn to another hub, as a model without demand may be evicted.
RATES_TTL_S = 4.0

_DEMAND = "gateway.hub_demand"


class HubDemands:
    """The demand that hubs have sent to this member while it is the leader."""

    def __init__(
        self, *, peers: PeerNetwork, loads: LoadView, clock: MonotonicClock
    ) -> None:
        self._peers = peers
        self._loads = loads
        self._demands = LatestMessages[HubDemand](clock=clock, ttl_s=RATES_TTL_S)
        peers.set_handler(_DEMAND, self._handle_demand)

    def send(self, leader: str, demand: HubDemand) -> None:
        """Send the demand in a hub's reports to the leader, possibly this member."""
        if leader == self._peers.vm_id:
            self._record(leader, demand)
        else:
            self._peers.send(leader, _DEMAND, encode_msgpack(demand))

    def rates(self) -> dict[str, float]:
        """Return the demand by replica, in engine ms per second."""
        self._demands.drop_expired()
        total: dict[str, float] = {}
        for demand in self._demands.messages():
            add_rates(total, demand["rate_by_replica"])
        return total

    def _handle_demand(self, sender: str, body: bytes) -> None:
        self._record(sender, decode_msgpack(body, HubDemand, peer=sender))

    def _record(self, hub: str, demand: HubDemand) -> None:
        if self._demands.record(hub, demand["number"], demand):
            self._loads.set_peer_report(
                f"group {hub}", {}, demand["replicas_by_target"]
            )
