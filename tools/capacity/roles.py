"""Extrapolates measured costs to the design size, one row per control role."""

from typing import NamedTuple

from jaytray_server.connection.peer_link import HEARTBEAT_INTERVAL_S
from jaytray_server.process.limits.account_limits import READ_BYTES_PER_S
from jaytray_server.process.limits.message_budget import BYTES_PER_S
from jaytray_server.process.membership import (
    CHOSEN_ELSEWHERE,
    CHOSEN_IN_FAILURE_DOMAIN,
)
from jaytray_server.process.placement.executor import PASS_PERIOD_S
from jaytray_server.process.placement.groups import MAX_TARGETS_PER_GROUP
from jaytray_server.process.target_observer import (
    DEMAND_MESSAGE_INTERVAL,
    OBSERVERS_PER_TARGET,
    READS_PER_S,
    message_interval_s,
)
from jaytray_server.version.follower import ANNOUNCE_PERIOD_S
from jaytray_server.version.service_reader import TIMER_PERIOD_S, WATCH_WAIT_S
from tools.capacity import design
from tools.capacity.slopes import Slope

# Assumed bytes that ZeroMQ, CURVE and TCP/IP add to an envelope.
FRAMING_BYTES = 120
# A VM chooses some neighbours and is chosen by as many others on average.
NEIGHBOURS = 2 * (CHOSEN_ELSEWHERE + CHOSEN_IN_FAILURE_DOMAIN)
# Assumed rate of the messages of the limits, and processor time of each.
LIMITS_MESSAGES_PER_S = 4.0
LIMITS_MESSAGE_S = 100e-6
# Models with demand on one VM within the averaging period; assumed to be all.
MODELS_WITH_DEMAND = design.MODELS


class Role(NamedTuple):
    """Cost of one control role per VM at the design size.

    The rates of key-value reads and writes are sums over the fleet.
    """

    name: str
    mechanism: str
    state_bytes: float
    messages_per_s: float
    bytes_per_s: float
    core_fraction: float
    fleet_reads_per_s: float
    fleet_writes_per_s: float


def control_roles(
    slopes_by_name: dict[str, Slope],
    *,
    heartbeat_bytes: int,
    announcement_bytes: int,
    http_call_us: float,
) -> list[Role]:
    """Return the control roles in the order of the page's table."""
    return [
        _membership(slopes_by_name, heartbeat_bytes),
        _document(slopes_by_name, announcement_bytes, http_call_us),
        _limits(slopes_by_name),
        _observation(slopes_by_name, http_call_us),
        _placement(slopes_by_name),
    ]


def observer_message_bytes(slopes_by_name: dict[str, Slope]) -> float:
    """Return the mean size of a VM's observer message at the design size."""
    digests = design.SERVERS * OBSERVERS_PER_TARGET / design.VMS
    demand_bytes = slopes_by_name["demand in a message"].at(MODELS_WITH_DEMAND)
    return (
        slopes_by_name["observer message"].at(digests)
        + demand_bytes / DEMAND_MESSAGE_INTERVAL
    )


def document_sections() -> int:
    """Return the number of sections of a document of the design size."""
    return design.MODELS + design.ADAPTERS + design.SERVERS + 200


def _membership(slopes_by_name: dict[str, Slope], heartbeat_bytes: int) -> Role:
    messages = NEIGHBOURS / HEARTBEAT_INTERVAL_S
    cost_us = slopes_by_name["heartbeats taken in"].per_item
    return Role(
        name="membership",
        mechanism="heartbeats to neighbours chosen by rendezvous hashing; list polled",
        state_bytes=design.VMS * 600.0,
        messages_per_s=messages,
        bytes_per_s=messages * (heartbeat_bytes + FRAMING_BYTES),
        # Making, sending, receiving and recording a heartbeat are each counted at the
        # cost of recording one.
        core_fraction=messages * 4 * cost_us / 1e6,
        fleet_reads_per_s=0.0,
        fleet_writes_per_s=0.0,
    )


def _document(
    slopes_by_name: dict[str, Slope], announcement_bytes: int, http_call_us: float
) -> Role:
    changes_per_s = design.CHANGES_PER_DAY / design.DAY_S
    sections = document_sections()
    change_bytes = slopes_by_name["one change"].at(sections)
    reads = design.VMS * (1 / TIMER_PERIOD_S + 1 / WATCH_WAIT_S + 3 * changes_per_s)
    return Role(
        name="document",
        mechanism="one watch on the head, a timer behind it, announcements to a peer",
        state_bytes=slopes_by_name["declared model"].at(design.MODELS)
        + slopes_by_name["declared adapter"].at(design.ADAPTERS)
        + slopes_by_name["declared target"].at(design.SERVERS),
        messages_per_s=1 / ANNOUNCE_PERIOD_S,
        bytes_per_s=(announcement_bytes + FRAMING_BYTES) / ANNOUNCE_PERIOD_S
        + changes_per_s * change_bytes,
        core_fraction=(
            changes_per_s * slopes_by_name["document put in force"].at(sections)
            + reads / design.VMS * http_call_us
        )
        / 1e6,
        fleet_reads_per_s=reads,
        # A change writes parts, head and history once each.
        fleet_writes_per_s=changes_per_s * 4,
    )


def _limits(slopes_by_name: dict[str, Slope]) -> Role:
    table_bytes = slopes_by_name["table of shares"].at(design.VMS)
    restarts_per_s = (
        design.RESTARTED_VMS_PER_DAY + design.FAILED_VMS_PER_DAY
    ) / design.DAY_S
    table_reads_per_s = READ_BYTES_PER_S / table_bytes
    return Role(
        name="limits",
        mechanism="conserved shares, gifts between VMs under a byte budget",
        state_bytes=slopes_by_name["client account in use"].at(100),
        messages_per_s=LIMITS_MESSAGES_PER_S,
        bytes_per_s=BYTES_PER_S + READ_BYTES_PER_S,
        core_fraction=LIMITS_MESSAGES_PER_S * LIMITS_MESSAGE_S,
        fleet_reads_per_s=design.VMS * table_reads_per_s,
        # Registering, receiving and claiming shares, with a few lost races each.
        fleet_writes_per_s=restarts_per_s * 6,
    )


def _observation(slopes_by_name: dict[str, Slope], http_call_us: float) -> Role:
    size = observer_message_bytes(slopes_by_name)
    period = message_interval_s(design.VMS, int(size))
    received = design.VMS / period
    # When flooding, each VM forwards a message to all neighbours but one.
    copies = received * (NEIGHBOURS - 1)
    digest_us = slopes_by_name["digests taken in"].per_item
    digests_per_s = design.SERVERS * OBSERVERS_PER_TARGET / period
    forwarding_us = slopes_by_name["heartbeats taken in"].per_item
    core_us = digests_per_s * digest_us + 2 * copies * forwarding_us
    return Role(
        name="observation",
        mechanism="two observers for each target, digests flooded to all VMs",
        state_bytes=slopes_by_name["state of a target"].at(design.SERVERS),
        messages_per_s=copies,
        bytes_per_s=copies * (size + FRAMING_BYTES),
        core_fraction=(core_us + READS_PER_S * http_call_us) / 1e6,
        fleet_reads_per_s=0.0,
        fleet_writes_per_s=0.0,
    )


def _placement(slopes_by_name: dict[str, Slope]) -> Role:
    groups = 1
    while design.SERVERS / groups > MAX_TARGETS_PER_GROUP:
        groups *= 2
    targets = design.SERVERS / groups
    passes_per_s = groups / design.VMS / PASS_PERIOD_S
    pass_us = slopes_by_name["planning pass of a group"].at(targets)
    # Demand grows tenfold within an hour: each model gains up to 7 replicas.
    orders_per_s = design.MODELS * 7 / 3600
    return Role(
        name="placement",
        mechanism="groups of targets, each planned under one lease",
        state_bytes=targets * 4_000,
        messages_per_s=0.1,
        bytes_per_s=20.0,
        core_fraction=passes_per_s * pass_us / 1e6,
        # Assumed: half a lease call per second for the holder and its two contenders.
        fleet_reads_per_s=groups * 1.0,
        fleet_writes_per_s=2 * orders_per_s + groups * 0.5,
    )
