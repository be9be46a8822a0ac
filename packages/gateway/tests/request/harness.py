"""The request path of one VM before scripted targets."""

import asyncio
import enum
import random
from typing import Any, NamedTuple

from jaytray_core.clock import monotonic_clock
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_gateway.connection.caller_app import make_caller_app
from jaytray_gateway.connection.target_connection import (
    TargetConnection,
    open_connection,
)
from jaytray_gateway.connection.target_pool import TargetConnectionPool
from jaytray_gateway.ports import (
    HeaderList,
)
from jaytray_gateway.process.brittle_targets import BrittleTargets
from jaytray_gateway.process.cold_permits import ColdBound, ColdPermits
from jaytray_gateway.process.cold_targets import ColdTargets
from jaytray_gateway.process.crash_guard import CrashGuard
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.departure_notices import DepartureNotices
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.engine_speed import EngineSpeeds
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.load_forecasts import LoadForecasts
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.paced_targets import PacedTargets
from jaytray_gateway.process.prompt_part_guard import PromptPartGuard
from jaytray_gateway.process.rate_grants import RateGrants
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_gateway.process.replicas import Replicas
from jaytray_gateway.process.request_log import RequestLog
from jaytray_gateway.process.retry_budget import RetryBudget
from jaytray_gateway.process.software_versions import SoftwareVersions
from jaytray_gateway.process.stream_origins import StreamOrigins
from jaytray_gateway.process.target_backoff import TargetBackoff
from jaytray_gateway.process.target_choice import TargetChooser
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.process.target_limits import TargetLimits
from jaytray_gateway.process.target_permits import TargetPermits
from jaytray_gateway.process.target_reach import TargetReach
from jaytray_gateway.request.admission import Admission
from jaytray_gateway.request.services import RequestServices
from jaytray_gateway.request.target_search import TargetSearch
from jaytray_gateway.version.route_table import (
    CallerLimits,
    ClientAccount,
    Engine,
    EngineModel,
    RequestKind,
    Route,
    RouteTable,
    Service,
    WeightedService,
    digest_key,
    index_routes,
)
from jaytray_server.ports import PeerNetwork
from packages.gateway.tests.request.scripted_target import ScriptedTarget
from packages.gateway.tests.request.wire_format import ADAPTER, not_used

KEY = b"secret-key"
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/p/",
    kind=RequestKind.NON_IDEMPOTENT,
    timeout_s=1.0,
    objective_s=0.1,
    max_attempts=2,
    priority=0,
    is_public=False,
    is_resumable=False,
    max_pause_s=0.0,
    services=(WeightedService("svc", 1.0),),
)
LIMITS = CallerLimits(16_384, 65_536, 3.0, 15.0)
ACCOUNT = ClientAccount("barns", None, True, 200, 0.0, 0.0)


class ReceivedResponse(NamedTuple):
    """The response as the caller received it; `is_whole` tells whether it ended."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_whole: bool


class TargetLink(enum.Enum):
    """State of a VM's links to all targets.

    SILENT holds back the data of open connections and lets new ones time out. RESET
    resets the open ones and refuses new ones. REFUSING only refuses new ones.
    """

    GOOD = "good"
    SILENT = "silent"
    RESET = "reset"
    REFUSING = "refusing"


class GatewayHarness:
    """The request path of one VM and the scripted targets behind it."""

    def __init__(
        self, *, route: Route, targets: list[ScriptedTarget], peers: PeerNetwork
    ) -> None:
        self.vm_id = peers.vm_id
        self.targets = targets
        self._peers = peers
        self.incarnation = 1
        self.directory = Directory(
            key_value=not_used,  # type: ignore[arg-type]
            adapter=ADAPTER,
            clock=monotonic_clock,
        )
        self.directory.route_table = RouteTable(
            version=1,
            routes_by_host=index_routes([route]),
            services_by_name={"svc": Service("svc", None)},
            accounts_by_name={"barns": ACCOUNT},
            account_by_key_digest={digest_key(KEY): "barns"},
            limits=LIMITS,
        )
        self.directory.current_as_of_s = monotonic_clock()
        self.lifecycle = Lifecycle()
        self.link = TargetLink.GOOD
        self._connections: list[TargetConnection] = []
        self.pools = TargetConnectionPool(
            clock=monotonic_clock, open_connection=self._open_connection
        )
        self.loads = LoadView(clock=monotonic_clock)
        self.crash_guard = CrashGuard(
            clock=monotonic_clock, notify_peers=lambda _found: None
        )
        self.versions = SoftwareVersions(
            directory=self.directory, clock=monotonic_clock
        )
        self.origins = StreamOrigins(
            peers=peers,
            directory=self.directory,
            versions=self.versions,
            clock=monotonic_clock,
        )
        self.services = self._services()
        self.app = make_caller_app(
            self.services,
            lifecycle=self.lifecycle,
            current_limits=lambda: LIMITS,
            clock=monotonic_clock,
        )

    def set_link(self, link: TargetLink) -> None:
        """Change this VM's links to all targets."""
        self.link = link
        for connection in self._connections:
            if link is TargetLink.RESET:
                connection.close()
            elif connection.transport is not None and link is TargetLink.SILENT:
                connection.transport.pause_reading()

    async def _open_connection(
        self, address: str, timeout_s: float
    ) -> TargetConnection:
        is_target = any(address == target.address for target in self.targets)
        if is_target and self.link is not TargetLink.GOOD:
            if self.link is TargetLink.SILENT:
                await asyncio.sleep(timeout_s)
            raise ExchangeError(
                progress=ExchangeProgress.NOT_SENT, detail="partitioned"
            )
        connection = await open_connection(address, timeout_s=timeout_s)
        if is_target:
            self._connections.append(connection)
        return connection

    def restart_targets(self) -> None:
        """Enter the targets into the directory with a new incarnation."""
        self.incarnation += 1
        self.register_targets()

    def register_targets(self) -> None:
        """Enter the targets into the directory."""
        self.directory.targets_by_id = {
            target.target_id: TargetEntry(
                target.target_id,
                str(self.incarnation),
                "svc",
                target.software_version,
                target.address,
                "a",
                False,
                4,
                {},
                frozenset(),
                frozenset(),
            )
            for target in self.targets
        }
        self.versions.update()
        self.origins.update()

    def table(self) -> RouteTable:
        """Return the route table in force."""
        assert self.directory.route_table is not None
        return self.directory.route_table

    def set_account(self, account: ClientAccount) -> None:
        """Put another account's limits in force, with its token bucket filled."""
        accounts = {account.name: account}
        self.directory.route_table = self.table()._replace(accounts_by_name=accounts)
        self.shares.receive(account, account.burst)

    def offer_unloaded_model(self) -> None:
        """Put a table in force whose service may load a model that no target holds."""
        model = EngineModel("m", 70.0, 0.1, 0.1, 0.1, 0.0)
        engine = Engine(64, 230.0, 8, 1.0, {"m": model})
        services = {"svc": Service("svc", engine)}
        self.directory.route_table = self.table()._replace(services_by_name=services)

    def load_model(self, target_id: str) -> None:
        """Have the directory show the model at a target."""
        entry = self.directory.targets_by_id[target_id]
        self.directory.targets_by_id[target_id] = entry._replace(
            adapters_by_model={"m": frozenset()}
        )

    def remove_services(self) -> None:
        """Put a table in force whose routes name a service that does not exist."""
        self.directory.route_table = self.table()._replace(services_by_name={})

    async def send_request(
        self,
        *,
        headers: HeaderList | None = None,
        target: str = "/p/x",
        body: bytes = b"data",
        leaves_after_s: float | None = None,
        reads_after_s: float = 0.0,
    ) -> ReceivedResponse:
        """Send one request as a caller and return the response.

        The caller takes `reads_after_s` to read each part of it.
        """
        sent: list[dict[str, Any]] = []
        state = {"is_read": False}

        async def receive() -> dict[str, Any]:
            if not state["is_read"]:
                state["is_read"] = True
                return {"type": "http.request", "body": body, "more_body": False}
            await asyncio.sleep(30.0 if leaves_after_s is None else leaves_after_s)
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            await asyncio.sleep(reads_after_s)
            sent.append(message)

        path, _, query = target.partition("?")
        scope = {
            "type": "http",
            "method": "POST",
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": headers if headers is not None else default_headers(),
        }
        await self.app(scope, receive, send)
        start: dict[str, Any] = sent[0] if sent else {"status": 0, "headers": []}
        chunks = sent[1:]
        return ReceivedResponse(
            status=start["status"],
            headers=dict(start["headers"]),
            body=b"".join(chunk["body"] for chunk in chunks),
            is_whole=bool(chunks) and not chunks[-1].get("more_body", False),
        )

    def _services(self) -> RequestServices:
        clock, rng = monotonic_clock, random.Random(1)
        health = TargetHealth(clock=clock)
        replicas = Replicas(directory=self.directory, clock=clock)
        self.shares = shares = RateShares(own_id=self._peers.vm_id, clock=clock)
        grants = RateGrants(
            shares=shares,
            peers=self._peers,
            find_account=self.directory.find_account,
            clock=clock,
            rng=rng,
        )
        limits = TargetLimits(peers=self._peers, clock=clock)
        backoff = TargetBackoff(clock=clock)
        brittle = BrittleTargets(
            peers=self._peers,
            clock=clock,
            running_at=lambda target_id: 0,
        )
        self.cold = ColdTargets(
            peers=self._peers,
            clock=clock,
            find_service=self.directory.find_service,
        )
        self.cold_permits = ColdPermits(
            cold=self.cold,
            bound=ColdBound(1.5, 5.0),
            peers=self._peers,
            clock=clock,
            copy_age_s=self.directory.age_s,
            max_copy_age_s=4.0,
        )
        self.pace = PacedTargets(
            peers=self._peers,
            clock=clock,
            running_at=lambda target_id: 0,
            member_count=lambda: self.directory.member_count,
        )
        permits = TargetPermits(
            limits=limits,
            brittle=brittle,
            pace=self.pace,
            cold=self.cold_permits,
            clock=clock,
        )
        self.speeds = EngineSpeeds()
        self.forecasts = LoadForecasts(clock=clock)
        self.relays = RelayMembers(clock=clock, rng=rng)
        self.reach = TargetReach(
            directory=self.directory, pools=self.pools, clock=clock, rng=rng
        )
        return RequestServices(
            vm_id=self.vm_id,
            adapter=ADAPTER,
            lifecycle=self.lifecycle,
            admission=Admission(
                directory=self.directory,
                lifecycle=self.lifecycle,
                grants=grants,
                max_table_age_s=4.0,
            ),
            search=TargetSearch(
                replicas=replicas,
                chooser=TargetChooser(
                    failure_domain="a",
                    loads=self.loads,
                    health=health,
                    speeds=self.speeds,
                    has_connection=lambda _target: True,
                    rng=rng,
                ),
                request_replica=lambda *_replica: None,
                permits=permits,
                backoff=backoff,
                speeds=self.speeds,
                forecasts=self.forecasts,
                member_count=lambda: 1,
                rng=random.Random(1),
                lifecycle=self.lifecycle,
                clock=clock,
            ),
            shares=shares,
            budget=RetryBudget(ratio=0.2, extra=56, window_s=10, clock=clock),
            loads=self.loads,
            health=health,
            pools=self.pools,
            crash_guard=self.crash_guard,
            part_guard=PromptPartGuard(
                clock=clock,
                notify_peers=lambda _evidence: None,
                on_explained=self.crash_guard.forget_crash,
            ),
            limits=limits,
            backoff=backoff,
            brittle=brittle,
            cold=self.cold,
            pace=self.pace,
            permits=permits,
            departures=DepartureNotices(peers=self._peers, directory=self.directory),
            reach=self.reach,
            relays=self.relays,
            replica_demand=DemandAverage(clock=clock, window_s=5.0),
            speeds=self.speeds,
            origins=self.origins,
            log=RequestLog(metrics=GatewayMetrics()),
            clock=clock,
            rng=rng,
        )


def default_headers() -> HeaderList:
    return [(b"x-id", b"r1"), (b"x-key", KEY)]
