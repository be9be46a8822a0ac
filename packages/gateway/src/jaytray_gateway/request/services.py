"""The services of the process that request handling depends on."""

import random
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.connection.target_pool import TargetConnectionPool
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.brittle_targets import BrittleTargets
from jaytray_gateway.process.cold_targets import ColdTargets
from jaytray_gateway.process.crash_guard import CrashGuard
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.departure_notices import DepartureNotices
from jaytray_gateway.process.engine_speed import EngineSpeeds
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.paced_targets import PacedTargets
from jaytray_gateway.process.prompt_part_guard import PromptPartGuard
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_gateway.process.request_log import RequestLog
from jaytray_gateway.process.retry_budget import RetryBudget
from jaytray_gateway.process.stream_origins import StreamOrigins
from jaytray_gateway.process.target_backoff import TargetBackoff
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.process.target_limits import TargetLimits
from jaytray_gateway.process.target_permits import TargetPermits
from jaytray_gateway.process.target_reach import TargetReach
from jaytray_gateway.request.admission import Admission
from jaytray_gateway.request.target_search import TargetSearch


class RequestServices(NamedTuple):
    """Services of the process that request handling depends on."""

    vm_id: str
    adapter: PlatformAdapter
    lifecycle: Lifecycle
    admission: Admission
    search: TargetSearch
    shares: RateShares
    budget: RetryBudget
    loads: LoadView
    health: TargetHealth
    pools: TargetConnectionPool
    crash_guard: CrashGuard
    part_guard: PromptPartGuard
    limits: TargetLimits
    backoff: TargetBackoff
    brittle: BrittleTargets
    cold: ColdTargets
    pace: PacedTargets
    permits: TargetPermits
    departures: DepartureNotices
    reach: TargetReach
    relays: RelayMembers
    replica_demand: DemandAverage
    speeds: EngineSpeeds
    origins: StreamOrigins
    log: RequestLog
    clock: MonotonicClock
    rng: random.Random
