"""Measures the costs of the control plane's functions in this process."""

import asyncio
import itertools
import random
from collections.abc import Callable

from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.document.model import TrafficClass
from jaytray_core.document.parts import (
    Body,
    DeclarationsByDigest,
    Head,
    declared_document_of,
    encode_head,
    make_body,
)
from jaytray_core.document.sections import Section
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_server.connection.peer_link import CurveKeys
from jaytray_server.connection.peer_messages import (
    HEARTBEAT_TOPIC,
    Envelope,
    Heartbeat,
)
from jaytray_server.connection.peer_network import PeerHub
from jaytray_server.ports import RoutingRequest
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.demand import Demand
from jaytray_server.process.limits.limiter import AccountLimiter
from jaytray_server.process.limits.share_table import (
    TOTAL_PARTS,
    create_table,
    encode_table,
)
from jaytray_server.process.placement.planner import plan
from jaytray_server.process.placement.state import TargetState
from jaytray_server.process.target_observer import ObserverMessage, TargetDigest
from jaytray_server.process.target_table import TargetTable
from jaytray_server.request.routing import make_router
from tools.capacity.sample_data import make_document, make_report
from tools.capacity.slopes import Slope, fit_slope, measure_slope, memory_slope

Work = Callable[[], object]


def heartbeat_cost() -> Slope:
    """Measure the processor time to decode and record heartbeats, by peers."""

    def make_work(peers: int) -> Work:
        hub = PeerHub(
            vm_id="a",
            boot_epoch_ms=1,
            keys=CurveKeys(b"", b""),
            clock=lambda: 1.0,
        )
        hub.update_vms([_vm(f"vm-{n}") for n in range(peers)], chosen=frozenset())
        sequence = itertools.count(1)

        def work() -> None:
            number = next(sequence)
            for peer in range(peers):
                hub.receive(heartbeat_frame(f"vm-{peer}", number))

        return work

    return measure_slope(
        "heartbeats taken in", item="peer", sizes=(2, 8, 32), make_work=make_work
    )


def heartbeat_frame(origin: str, sequence: int) -> bytes:
    """Return an encoded heartbeat of `origin`."""
    body = encode_msgpack(Heartbeat(sequence, sequence - 1, 1000))
    return encode_msgpack(
        Envelope(origin, 1, sequence, origin, False, False, HEARTBEAT_TOPIC, body)
    )


def digest_bytes() -> Slope:
    """Measure the size of an observer's message, by the target digests in it."""
    points = [(float(n), float(len(_observer_message(n, 0)))) for n in (2, 8, 32)]
    return fit_slope(
        "observer message", unit="bytes", item="target digest", points=points
    )


def demand_bytes() -> Slope:
    """Measure the size of an observer's message, by the models with demand."""
    points = [(float(n), float(len(_observer_message(0, n)))) for n in (10, 60, 480)]
    return fit_slope(
        "demand in a message", unit="bytes", item="model with demand", points=points
    )


def digest_cost() -> Slope:
    """Measure the processor time to decode digests and record them, by targets."""

    def make_work(targets: int) -> Work:
        table = TargetTable(clock=lambda: 1.0)
        body = _observer_message(targets, 0)
        reports = [make_report(number, models=480) for number in range(targets)]
        clock = itertools.count(2)

        def work() -> None:
            decode_msgpack(body, ObserverMessage, peer="vm")
            now = float(next(clock))
            for report in reports:
                table.record_report(report._replace(taken_at_s=now))

        return work

    return measure_slope(
        "digests taken in", item="target", sizes=(2, 16, 64), make_work=make_work
    )


def routing_cost() -> Slope:
    """Measure the processor time of a routing decision, by targets."""

    def make_work(targets: int) -> Work:
        models = max(4, targets // 3)
        document = make_document(models=models, targets=targets)
        table = TargetTable(clock=lambda: 1.0)
        for number in range(targets):
            table.record_report(make_report(number, models=models))
        router = make_router(
            table=table,
            cache_index=CacheIndex(clock=lambda: 1.0),
            current_document=lambda: document,
            clock=lambda: 1.0,
            random=random.Random(1),
            vm_failure_domain="zone-0",
        )
        request = RoutingRequest(
            request_id="r",
            name="model-0",
            account="a",
            traffic_class=TrafficClass.INTERACTIVE,
            prompt_tokens=100,
            output_tokens=200,
            prefix_digests=("a", "b"),
            excluded_targets=frozenset(),
            deadline_s=100.0,
        )
        return lambda: router.choose(request)

    return measure_slope(
        "routing decision", item="target", sizes=(10, 100, 1400), make_work=make_work
    )


def planning_cost() -> Slope:
    """Measure the processor time of a planning pass of a group, by its targets."""

    def make_work(targets: int) -> Work:
        document = make_document(models=targets // 3 + 1, targets=targets)
        states = [
            TargetState(
                target,
                True,
                True,
                tuple(
                    make_report(number, models=len(document.models_by_name)).residents
                ),
                (),
                frozenset(),
            )
            for number, target in enumerate(document.targets_by_name.values())
        ]
        demand = {name: Demand(500.0, 900.0) for name in document.models_by_name}
        return lambda: plan(document=document, states=states, demand_by_name=demand)

    return measure_slope(
        "planning pass of a group",
        item="target",
        sizes=(8, 16, 32),
        make_work=make_work,
    )


def admission_cost() -> Slope:
    """Measure the processor time to charge and settle a request per account."""

    def make_work(accounts: int) -> Work:
        document = make_document(accounts=accounts)
        now = [0.0]

        def clock() -> float:
            now[0] += 1.0
            return now[0]

        limiter = AccountLimiter(current_document=lambda: document, clock=clock)
        limiter.set_parts(TOTAL_PARTS)
        now[0] += 1000.0

        async def admit() -> None:
            for name in document.accounts_by_name:
                now[0] += 100.0
                reservation = await limiter.reserve(name, 100, 0.0)
                limiter.settle(reservation, 60)

        return lambda: asyncio.run(admit())

    return measure_slope(
        "charge and settle",
        item="request",
        sizes=(20, 100, 400),
        make_work=make_work,
    )


def share_table_bytes() -> Slope:
    """Measure the size of the share table, by VMs."""
    points = [
        (float(n), float(len(encode_table(create_table(f"vm-{k}" for k in range(n))))))
        for n in (8, 64, 370)
    ]
    return fit_slope("table of shares", unit="bytes", item="VM", points=points)


def document_change_cost() -> Slope:
    """Measure the processor time to put a changed document in force, by sections.

    One part of the document has changed.
    """

    def make_work(sections: int) -> Work:
        bodies = [_body_with(sections, changed=rate) for rate in (1, 2)]
        parts = bodies[0].parts_by_digest | bodies[1].parts_by_digest
        heads = itertools.cycle([_head_of(body) for body in bodies])
        declared: DeclarationsByDigest = {}

        def put_in_force() -> None:
            nonlocal declared
            head = next(heads)
            declared, _ = declared_document_of(head, parts, declared, peer="kv")

        put_in_force()
        return put_in_force

    return measure_slope(
        "document put in force",
        item="section",
        sizes=(100, 1000, 4000),
        make_work=make_work,
    )


def document_change_bytes() -> Slope:
    """Measure the bytes that a change transfers: head, manifest and one part."""
    points = []
    for sections in (100, 1000, 4000):
        body = _body_with(sections, changed=1)
        parts = dict(body.parts_by_digest)
        manifest = parts.pop(body.body_digest)
        moved = len(encode_head(_head_of(body))) + len(manifest)
        moved += max(len(data) for data in parts.values())
        points.append((float(sections), float(moved)))
    return fit_slope("one change", unit="bytes", item="section", points=points)


def _body_with(sections: int, *, changed: int) -> Body:
    options = {"rate_tokens_per_s": str(changed), "burst_tokens": "10"}
    return make_body(
        [*_account_sections(sections), Section("account changing", options)]
    )


def _head_of(body: Body) -> Head:
    return Head("capacity", 1, "w" * 16, body.body_digest, 0, "a", 0.0, "")


def memory_slopes() -> list[Slope]:
    """Measure the memory of each kind of state, by the number of its items."""

    def table(count: int) -> object:
        entries = TargetTable(clock=lambda: 1.0)
        for number in range(count):
            entries.record_report(make_report(number, models=480))
        return entries

    def limiter(count: int) -> object:
        document = make_document(accounts=count)
        accounts = AccountLimiter(current_document=lambda: document, clock=lambda: 1.0)
        for name in document.accounts_by_name:
            accounts.state_of(name)
        return accounts

    return [
        memory_slope(
            "declared model",
            item="model",
            sizes=(60, 240, 480),
            make=lambda n: make_document(models=n),
        ),
        memory_slope(
            "declared adapter",
            item="adapter",
            sizes=(240, 960, 1920),
            make=lambda n: make_document(adapters=n),
        ),
        memory_slope(
            "declared target",
            item="target",
            sizes=(100, 700, 1400),
            make=lambda n: make_document(targets=n),
        ),
        memory_slope(
            "state of a target", item="target", sizes=(100, 700, 1400), make=table
        ),
        memory_slope(
            "client account in use",
            item="account",
            sizes=(100, 500, 1000),
            make=limiter,
        ),
    ]


def control_slopes() -> list[Slope]:
    """Measure all costs of the control plane except memory."""
    return [
        heartbeat_cost(),
        digest_bytes(),
        demand_bytes(),
        digest_cost(),
        routing_cost(),
        planning_cost(),
        admission_cost(),
        share_table_bytes(),
        document_change_cost(),
        document_change_bytes(),
    ]


def _observer_message(targets: int, models: int) -> bytes:
    digests = []
    for number in range(targets):
        report = make_report(number, models=480)
        digests.append(
            TargetDigest(report.target, "boot", 1.0, None, 1, 4, 0, 800, False)
        )
    demand = {f"model-{n}": Demand(123, 234) for n in range(models)}
    return encode_msgpack(ObserverMessage(digests, [], demand))


def _account_sections(count: int) -> list[Section]:
    return [
        Section(
            f"account account-{n}",
            {"rate_tokens_per_s": "1000", "burst_tokens": "50000", "weight": "1"},
        )
        for n in range(count)
    ]


def _vm(vm_id: str) -> VmEntry:
    return VmEntry(vm_id, "127.0.0.1:1", "127.0.0.1:2", "zone-0", VmState.LIVE)
