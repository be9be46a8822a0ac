"""Fakes and factories for tests of request handling."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, nullcontext
from typing import Any, NamedTuple

import httpx

from jaytray_core import message_registry as messages
from jaytray_core.document.model import (
    Adapter,
    ClientAccount,
    Document,
    Key,
    Model,
    Route,
    Service,
    Target,
    TrafficClass,
    empty_document,
)
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.targets import Order, OrderKind, TargetConnection
from jaytray_server.ports import (
    Limiter,
    Reservation,
    Router,
    RoutingDecision,
    RoutingRequest,
    SlotRequest,
)
from jaytray_server.process.deferred.store import DeferredStore
from jaytray_server.process.idempotency.commits import EntryCommitter
from jaytray_server.process.idempotency.idempotency import Idempotency
from jaytray_server.process.metrics import make_null_metrics
from jaytray_server.process.quarantine.quarantine import Quarantine
from jaytray_server.request.http_api import make_app
from jaytray_server.request.retry import RetryBudget
from jaytray_server.request.service_routing import AddressHealth
from jaytray_server.request.services import (
    Lifecycle,
    Phase,
    RequestServices,
    SizeLimits,
    Timeouts,
)
from jaytray_server.version.authentication import digest_key
from jaytray_standins.asgi_scope import http_scope
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value, in_process_target
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.target.state import TargetState
from packages.server.tests.request.peers import FakeNetwork
from packages.server.tests.request.virtual_loop import loop_clock, loop_wall_clock

KEY = "k-lakeshore"
ACCOUNT = ClientAccount("lakeshore", 1000.0, 5000, 1.0)
MODEL = Model("assistant", "1", 100, 1, 2, 64, 5.0, 1.0)
TARGETS = ("t1", "t2", "t3")


def make_document(*, routes: tuple[Route, ...] = ()) -> Document:
    """Return a document with one model, one adapter, three targets and one service."""
    targets = {
        name: Target(name, f"127.0.0.1:{9000 + i}", "d1", 1, 1000, True, 8, False)
        for i, name in enumerate(TARGETS)
    }
    return empty_document("trial")._replace(
        version=1,
        accounts_by_name={ACCOUNT.name: ACCOUNT},
        keys_by_digest={digest_key(KEY): Key("k1", ACCOUNT.name, digest_key(KEY))},
        models_by_name={MODEL.name: MODEL},
        adapters_by_name={"mare": Adapter("mare", MODEL.name, "1", 10)},
        targets_by_name=targets,
        services_by_name={"rounds": Service("rounds", ("s1", "s2"))},
        routes_by_name={r.name: r for r in (*DEFAULT_ROUTES, *routes)},
    )


def make_route(name: str, prefix: str, **fields: Any) -> Route:
    """Return a route of the service `rounds` for all methods."""
    route = Route(
        name, "rounds", prefix, (), False, None, TrafficClass.INTERACTIVE, 5.0, 1
    )
    return route._replace(**fields)


def chat_body(text: str, **fields: object) -> dict[str, object]:
    """Return the body of a chat completion."""
    return {
        "model": MODEL.name,
        "messages": [{"role": "user", "content": text}],
        **fields,
    }


class Targets(NamedTuple):
    """Stand-in targets with their fault switches."""

    states: dict[str, TargetState]
    faults: dict[str, FaultSwitches]

    def connection_to(self, name: str) -> TargetConnection:
        """Return a connection to one of the targets."""
        return in_process_target(self.states[name], self.faults[name], timeout_s=0.3)

    def boot_id_of(self, name: str) -> str:
        """Return the boot id that the target would report."""
        return self.states[name].boot_id


def make_targets(*, restart_s: float = 0.0, token_interval_s: float = 0.001) -> Targets:
    """Return three targets on which the model is ready.

    It is ready again as soon as a target has restarted.
    """
    states: dict[str, TargetState] = {}
    for name in TARGETS:
        states[name] = RestartingTarget(
            name=name,
            accelerators=1,
            accelerator_memory_mib=1000,
            checks_fencing=True,
            clock=loop_clock,
            first_token_s=0.01,
            token_interval_s=token_interval_s,
            restart_s=restart_s,
        )
        load_model(states[name])
    return Targets(states, {name: FaultSwitches() for name in TARGETS})


class RestartingTarget(TargetState):
    """A target on which the model is ready again after each restart."""

    def crash(self) -> None:
        """Crash, then make the model ready again."""
        super().crash()
        load_model(self)


def load_model(state: TargetState) -> None:
    """Make the model ready on a target."""
    order = Order("o", OrderKind.LOAD_MODEL, MODEL.name, MODEL.name, "1", 0, 100, 1)
    state.add_ready(order)


DEFAULT_ROUTES = (
    make_route("all", "/"),
    make_route("open", "/menu", is_open=True, methods=("GET",)),
    make_route("safe", "/safe", is_repeatable=True),
)


class FakeCalls:
    """Records the calls that the fakes received."""

    def __init__(self) -> None:
        self.reserved: list[int] = []
        self.settled: list[int] = []
        self.failed_targets: list[str] = []
        self.slots_held = 0
        self.version_by_target: dict[str, str] = {}


class Site(NamedTuple):
    """Request handling on fakes: its services, the record of calls, a client."""

    services: RequestServices
    calls: FakeCalls
    client: Callable[[], httpx.AsyncClient]

    def scope(
        self, method: str, path: str, *, headers: dict[str, str] | None = None
    ) -> dict[str, Any]:
        """Return the ASGI scope of a request with the caller's key."""
        pairs = {"authorization": f"Bearer {KEY}", **(headers or {})}
        return http_scope(method, path, list(pairs.items()))


def make_site(
    *,
    connection_to: Callable[[str], TargetConnection | None],
    connection_to_address: Callable[[str], TargetConnection | None] | None = None,
    document: Document | None = None,
    timeouts: Timeouts | None = None,
    first_target: int = 0,
    **changes: Any,
) -> Site:
    """Return request handling on fakes and the given connections to targets."""
    calls = FakeCalls()
    in_force = document or make_document()
    lifecycle = Lifecycle()
    lifecycle.phase = Phase.READY
    services = RequestServices(
        current_document=lambda: in_force,
        register_stream=lambda _digest, _end: nullcontext(),
        limiter=_make_limiter(calls),
        acquire_slot=_make_acquire_slot(calls),
        router=_make_router(calls, first_target),
        connection_to=connection_to,
        connection_to_address=connection_to_address or connection_to,
        prefix_digests=lambda _model, _prompt: (),
        load_adapter=_load_adapter,
        metrics=make_null_metrics(),
        clock=loop_clock,
        wall_clock=loop_wall_clock,
        lifecycle=lifecycle,
        retry_budget=RetryBudget(),
        address_health=AddressHealth(clock=loop_clock),
        idempotency=make_idempotency(),
        quarantine=make_quarantine(),
        deferred=make_deferred_store(),
        timeouts=timeouts or Timeouts(),
        sizes=SizeLimits(),
    )._replace(**changes)
    app = make_app(services)

    def client() -> httpx.AsyncClient:
        transport = httpx.ASGITransport(app=app)  # type: ignore[arg-type]
        headers = {"authorization": f"Bearer {KEY}"}
        return httpx.AsyncClient(
            transport=transport, base_url="http://vm", headers=headers
        )

    return Site(services, calls, client)


def make_idempotency(
    store: KeyValueStore | None = None,
    faults: FaultSwitches | None = None,
    network: FakeNetwork | None = None,
    vm_id: str = "vm1",
) -> Idempotency:
    """Return one VM's idempotency on an in-process key-value service."""
    key_value = in_process_key_value(
        store or KeyValueStore(clock=loop_clock),
        faults or FaultSwitches(),
        timeout_s=0.05,
    )
    committer = EntryCommitter(
        key_value=key_value,
        peers=(network or FakeNetwork(vm_ids=(vm_id,))).for_vm(vm_id),
        clock=loop_clock,
        wall_clock=loop_wall_clock,
        owner_timeout_s=0.1,
    )
    committer.register_handlers()
    return Idempotency(
        committer=committer, clock=loop_clock, wall_clock=loop_wall_clock
    )


def make_quarantine(
    store: KeyValueStore | None = None,
    faults: FaultSwitches | None = None,
    network: FakeNetwork | None = None,
    vm_id: str = "vm1",
    boot_id_of: Callable[[str], str] = lambda _target: "",
) -> Quarantine:
    """Return one VM's quarantine on an in-process key-value service."""
    quarantine = Quarantine(
        peers=(network or FakeNetwork(vm_ids=(vm_id,))).for_vm(vm_id),
        key_value=in_process_key_value(
            store or KeyValueStore(clock=loop_clock),
            faults or FaultSwitches(),
            timeout_s=0.05,
        ),
        wall_clock=loop_wall_clock,
        boot_id_of=boot_id_of,
    )
    quarantine.register_handlers()
    return quarantine


def make_deferred_store(
    store: KeyValueStore | None = None, faults: FaultSwitches | None = None
) -> DeferredStore:
    """Return a store of deferred jobs on an in-process key-value service."""
    key_value = in_process_key_value(
        store or KeyValueStore(clock=loop_clock),
        faults or FaultSwitches(),
        timeout_s=0.05,
    )
    return DeferredStore(key_value=key_value, wall_clock=loop_wall_clock)


async def _load_adapter(_target: str, _adapter: str) -> None:
    return


def _make_limiter(calls: FakeCalls) -> Limiter:
    async def reserve(account: str, tokens: int, _wait_s: float) -> Reservation:
        if tokens > ACCOUNT.burst_tokens:
            raise JaytrayError(
                messages.REQUEST_ABOVE_BURST,
                step=Step.ADMIT,
                tokens=tokens,
                account=account,
            )
        calls.reserved.append(tokens)
        return Reservation(len(calls.reserved), account, tokens)

    return Limiter(reserve, lambda _r, used: calls.settled.append(used))


def _make_acquire_slot(calls: FakeCalls) -> Any:
    @asynccontextmanager
    async def acquire_slot(_request: SlotRequest) -> AsyncIterator[None]:
        calls.slots_held += 1
        try:
            yield
        finally:
            calls.slots_held -= 1

    return acquire_slot


def _make_router(calls: FakeCalls, first_target: int) -> Router:
    """Choose the first target that is not excluded, from `first_target` on.

    Targets have the model versions of `calls`, `v1` if none is set.
    """
    order = (*TARGETS[first_target:], *TARGETS[:first_target])

    def choose(request: RoutingRequest) -> RoutingDecision:
        free = [
            name
            for name in order
            if name not in request.excluded_targets
            and request.model_version in ("", calls.version_by_target.get(name, "v1"))
        ]
        if not free:
            raise JaytrayError(messages.NO_REPLICA, step=Step.ROUTE, name=request.name)
        version = calls.version_by_target.get(free[0], "v1")
        return RoutingDecision(free[0], "first", 0.0, len(free), False, version)

    return Router(
        choose=choose,
        record_start=lambda _target, _id, _tokens: None,
        record_progress=lambda _target, _id, _tokens: None,
        record_finish=lambda _target, _id: None,
        record_failure=calls.failed_targets.append,
    )
