"""Choice of a replica for each request.

The router samples a few of the ready replicas at random, adds the one that probably
caches the longest prefix of the prompt, and chooses the one of lowest cost. The cost
is the load relative to the target's slots, less a discount for the cached prefix,
plus small amounts for another failure domain and for a missing adapter. Sampling a
few, instead of taking the least loaded of all, keeps many VMs with equally old load
reports from all choosing the same target.

Leaving and drained targets are never chosen. Suspected and slow targets are chosen
only if no better one is ready. A request that the chosen replica cannot start before
its deadline is refused at once. Each decision is logged in one line.
"""

from random import Random
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.document.model import Document, Model, Target, TrafficClass
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_server.ports import (
    CurrentDocument,
    Router,
    RoutingDecision,
    RoutingRequest,
)
from jaytray_server.process.accelerator_load import AcceleratorLoad
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.decision_log import DecisionLog, DecisionRecord
from jaytray_server.process.demand import DemandMeter
from jaytray_server.process.target_table import (
    OwnRequest,
    TargetLoad,
    TargetTable,
)
from jaytray_server.request.candidates import base_model, preferred_targets

MIN_RETRY_AFTER_S = 0.5
# A piece later than this multiple of the inter-token deadline marks its target slow.
LATE_PIECE_FACTOR = 3.0


class RoutingPolicy(NamedTuple):
    """Weights of a routing decision; costs are fractions of a target's slots.

    `choices` is the number of replicas sampled at random. `prefix_discount` is
    subtracted for a fully cached prompt, in proportion for a partly cached one, while
    the target's load is at most `affinity_load_factor` times the lowest sampled load
    plus `affinity_slack_requests`. `output_tokens_weight` weighs pending tokens
    against running requests. Estimated waits are multiplied by `admission_safety`,
    since other VMs admit requests at the same time and each request above the slots
    slows the others.
    """

    choices: int = 3
    prefix_discount: float = 0.25
    affinity_load_factor: float = 1.25
    affinity_slack_requests: int = 2
    output_tokens_weight: float = 0.5
    other_domain_cost: float = 0.02
    adapter_load_cost: float = 0.5
    refuses_unreachable_deadlines: bool = True
    admission_safety: float = 4.0


class _Candidate(NamedTuple):
    """A replica that may be chosen.

    `slots` and `load` cover only the accelerators that hold the base model.
    """

    target: Target
    accelerators: list[int]
    slots: float
    load: TargetLoad
    needs_adapter_load: bool


class _ScoredCandidate(NamedTuple):
    """A candidate with its cost and the number of cached prefixes."""

    candidate: _Candidate
    cost: float
    matched_prefixes: int


def make_router(
    *,
    table: TargetTable,
    cache_index: CacheIndex,
    current_document: CurrentDocument,
    clock: MonotonicClock,
    random: Random,
    vm_failure_domain: str,
    policy: RoutingPolicy = RoutingPolicy(),
    decisions: DecisionLog | None = None,
    demand: DemandMeter | None = None,
) -> Router:
    """Return the router of this VM; it runs no background task.

    `choose` raises `model_unknown`, `no_replica` or `deadline_unreachable`, all of
    them `not_run`. The deadline of a request is a time on `clock`. `record_progress`
    takes the number of tokens still expected; a piece that is late by the model's
    deadlines marks the target as slow.
    """
    loads = AcceleratorLoad(clock=clock)
    decision_log = decisions if decisions is not None else DecisionLog()

    def choose(request: RoutingRequest) -> RoutingDecision:
        document = current_document()
        model = base_model(document, request.name)
        if demand is not None:
            demand.record(request.name, request.output_tokens)
        try:
            scored, sample_size = _best_replica(
                request,
                document,
                table,
                loads,
                cache_index,
                random,
                policy,
                vm_failure_domain,
            )
            if policy.refuses_unreachable_deadlines:
                remaining_s = request.deadline_s - clock()
                _refuse_unreachable_deadline(
                    request,
                    model,
                    scored.candidate,
                    remaining_s,
                    table.mean_run_s(scored.candidate.target.name),
                    policy,
                )
        except JaytrayError as err:
            _record(request, "", err.code, 0.0, 0)
            raise
        reason, target = _reason(scored, sample_size), scored.candidate.target.name
        loads.record(target, scored.candidate.accelerators, request.output_tokens)
        _record(request, target, reason, scored.cost, sample_size)
        cache_index.record_dispatch(target, request.prefix_digests)
        return RoutingDecision(
            target,
            reason,
            scored.cost,
            sample_size,
            scored.candidate.needs_adapter_load,
            table.model_version_at(target, model.name),
        )

    def _record(
        request: RoutingRequest,
        target: str,
        reason: str,
        score: float,
        sample_size: int,
    ) -> None:
        record = DecisionRecord(
            request.request_id, "routing", target, reason, score, sample_size, clock()
        )
        decision_log.add(record)
        get_logger().info(
            "routing_decision",
            request_id=request.request_id,
            name=request.name,
            account=request.account,
            target=target,
            reason=reason,
            score=round(score, 3),
            candidates=sample_size,
        )

    def record_progress(target: str, request_id: str, tokens: int) -> None:
        own = table.own_request(target, request_id)
        if own is not None and _is_late(
            own, tokens, clock(), _slowest_model(target, table, current_document())
        ):
            table.mark_slow(target)
        table.record_progress(target, request_id, tokens)

    return Router(
        choose=choose,
        record_start=table.record_start,
        record_progress=record_progress,
        record_finish=table.record_finish,
        record_failure=table.record_failure,
    )


def _best_replica(
    request: RoutingRequest,
    document: Document,
    table: TargetTable,
    loads: AcceleratorLoad,
    cache_index: CacheIndex,
    random: Random,
    policy: RoutingPolicy,
    vm_failure_domain: str,
) -> tuple[_ScoredCandidate, int]:
    """Return the sampled replica of lowest cost and the number of replicas sampled."""
    base = base_model(document, request.name).name
    names = preferred_targets(request, document, table)
    sampled = _sample_targets(names, request, cache_index, random, policy.choices)
    candidates = [
        _make_candidate(
            document.targets_by_name[name], base, request.name, table, loads
        )
        for name in sampled
    ]
    least = min(candidate.load.requests for candidate in candidates)
    bound = least * policy.affinity_load_factor + policy.affinity_slack_requests
    scored = [
        _score_candidate(
            candidate, request, cache_index, policy, vm_failure_domain, bound
        )
        for candidate in candidates
    ]
    return min(scored, key=lambda each: each.cost), len(sampled)


def _make_candidate(
    target: Target, base: str, name: str, table: TargetTable, loads: AcceleratorLoad
) -> _Candidate:
    """Return a target with its load on the accelerators that hold the model."""
    residents = table.ready_replicas(base).get(target.name, ())
    accelerators = [resident.accelerator for resident in residents] or [0]
    fraction = loads.load_fraction(target.name, accelerators, target.accelerators)
    load = table.load_of(target.name)
    slots = target.max_running_requests * len(accelerators) / target.accelerators
    return _Candidate(
        target,
        accelerators,
        max(1.0, slots),
        TargetLoad(round(load.requests * fraction), round(load.tokens * fraction)),
        target.name not in table.ready_replicas(name),
    )


def _sample_targets(
    names: list[str],
    request: RoutingRequest,
    cache_index: CacheIndex,
    random: Random,
    choices: int,
) -> list[str]:
    """Return a random sample and the target with the longest cached prefix."""
    if len(names) <= choices:
        return names
    sampled = random.sample(names, choices)
    if not request.prefix_digests:
        return sampled
    matches = [
        cache_index.matched_prefixes(name, request.prefix_digests) for name in names
    ]
    longest = max(matches)
    best = names[matches.index(longest)]
    return sampled if longest == 0 or best in sampled else [*sampled, best]


def _score_candidate(
    candidate: _Candidate,
    request: RoutingRequest,
    cache_index: CacheIndex,
    policy: RoutingPolicy,
    vm_failure_domain: str,
    affinity_bound: float,
) -> _ScoredCandidate:
    target, _, slots, load, needs_adapter_load = candidate
    pending = load.tokens / (slots * max(1, request.output_tokens))
    cost = load.requests / slots + policy.output_tokens_weight * pending
    matched = 0
    if request.prefix_digests and load.requests <= affinity_bound:
        matched = cache_index.matched_prefixes(target.name, request.prefix_digests)
        cost -= policy.prefix_discount * matched / len(request.prefix_digests)
    if target.failure_domain != vm_failure_domain:
        cost += policy.other_domain_cost
    if needs_adapter_load:
        cost += policy.adapter_load_cost
    return _ScoredCandidate(candidate, cost, matched)


def _refuse_unreachable_deadline(
    request: RoutingRequest,
    model: Model,
    candidate: _Candidate,
    remaining_s: float,
    run_s: float | None,
    policy: RoutingPolicy,
) -> None:
    """Raise if the chosen replica cannot start the request before its deadline."""
    if request.traffic_class is TrafficClass.DEFERRED:
        return
    wait_s = estimate_wait_s(candidate.slots, candidate.load, model, run_s)
    if wait_s * policy.admission_safety > remaining_s:
        raise JaytrayError(
            messages.DEADLINE_UNREACHABLE,
            step=Step.ADMIT,
            peer=candidate.target.name,
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s - remaining_s),
        )


def estimate_wait_s(
    slots: float, load: TargetLoad, model: Model, run_s: float | None
) -> float:
    """Return the estimated seconds until one of `slots` is free for another request.

    `run_s` is the mean run time of this VM's recent requests at the target. If it is
    unknown, requests are assumed to produce one token per inter-token deadline.
    """
    waiting = load.requests + 1 - slots
    if waiting <= 0 or load.requests == 0:
        return 0.0
    if run_s is None:
        run_s = load.tokens / load.requests * model.inter_token_deadline_s
    return waiting * run_s / slots


def _slowest_model(target: str, table: TargetTable, document: Document) -> Model | None:
    """Return the model with the longest deadlines that the target holds."""
    report = table.report_of(target)
    models = [
        model
        for resident in (report.residents if report else ())
        if (model := document.models_by_name.get(resident.model)) is not None
    ]
    return max(models, key=lambda model: model.first_token_deadline_s, default=None)


def _is_late(own: OwnRequest, tokens: int, now: float, model: Model | None) -> bool:
    """Return whether a piece arrived later than the model's deadlines allow."""
    if model is None:
        return False
    if own.progressed_at_s is None:
        return now - own.started_at_s > model.first_token_deadline_s
    produced = max(1, own.tokens - tokens)
    allowed_s = LATE_PIECE_FACTOR * model.inter_token_deadline_s * produced
    return now - own.progressed_at_s > allowed_s


def _reason(scored: _ScoredCandidate, sample_size: int) -> str:
    if scored.candidate.needs_adapter_load:
        return "adapter_load_needed"
    if sample_size == 1:
        return "only_replica"
    return "cached_prefix" if scored.matched_prefixes else "least_cost"
