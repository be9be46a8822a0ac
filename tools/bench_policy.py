"""Compares routing and placement policies in a simulation (`make bench-policy`).

The decision functions are the server's own; targets, load and time are simulated. Each
policy gets the same load from the same seeds: bursts, a tenfold rise of the demand for
a model, a crashed target and a lost failure domain. Also prints the processor time of
the decisions.
"""

import logging
import statistics

import structlog
from absl import app, flags

from jaytray_server.process.placement.changes import PlanSettings
from jaytray_server.request.routing import RoutingPolicy
from tools.policy_model.outcome import Outcome, Policy
from tools.policy_model.sites import CONSORTIUM, LAKESHORE, Site
from tools.policy_model.timing import print_timings
from tools.policy_model.world import Simulation

_SEEDS = flags.DEFINE_integer("seeds", 3, "Number of seeds to average over.")
_VARIANTS_FLAG = flags.DEFINE_bool(
    "tries", False, "Also run variants of the server's policy."
)
_ONLY = flags.DEFINE_string("only", "", "Run only policies whose name has this prefix.")

RANDOM_ROUTING = RoutingPolicy(
    choices=1,
    prefix_discount=0.0,
    other_domain_cost=0.0,
    refuses_unreachable_deadlines=False,
)
LEAST_REQUESTS_ROUTING = RoutingPolicy(
    choices=10_000,
    prefix_discount=0.0,
    output_tokens_weight=0.0,
    other_domain_cost=0.0,
    refuses_unreachable_deadlines=False,
)
SERVER_ROUTING = RoutingPolicy()
POLICIES = [
    Policy("jaytray", SERVER_ROUTING),
    Policy("random", RANDOM_ROUTING),
    Policy("least_requests", LEAST_REQUESTS_ROUTING, counts_own_requests=False),
    Policy("static_placement", SERVER_ROUTING, moves_models=False),
    Policy("without_own_requests", SERVER_ROUTING, counts_own_requests=False),
]
VARIANTS = [
    Policy("try_two_choices", SERVER_ROUTING._replace(choices=2)),
    Policy("try_all_choices", SERVER_ROUTING._replace(choices=10_000)),
    Policy("try_no_affinity", SERVER_ROUTING._replace(prefix_discount=0.0)),
    Policy("try_strong_affinity", SERVER_ROUTING._replace(prefix_discount=0.6)),
    Policy("try_requests_only", SERVER_ROUTING._replace(output_tokens_weight=0.0)),
    Policy(
        "try_no_refusals", SERVER_ROUTING._replace(refuses_unreachable_deadlines=False)
    ),
    Policy("try_queue_longer", SERVER_ROUTING._replace(admission_safety=1.0)),
    Policy("try_queue_less", SERVER_ROUTING._replace(admission_safety=16.0)),
    Policy("try_free_moves", SERVER_ROUTING, PlanSettings(min_shortfall=0.0)),
    Policy("try_dear_moves", SERVER_ROUTING, PlanSettings(min_shortfall=0.8)),
    Policy("try_utilisation_35", SERVER_ROUTING, PlanSettings(target_utilisation=0.35)),
    Policy("try_utilisation_70", SERVER_ROUTING, PlanSettings(target_utilisation=0.7)),
]
HEADER = (
    "policy                 attained/s/acc  attained%  worst-account%  refused  "
    "moves  adapter-loads  unreachable-s  longest-s  overcommitted-MiB"
)


def main(_arguments: list[str]) -> None:
    """Run all policies at both sites and print one table for each."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    policies = POLICIES + (VARIANTS if _VARIANTS_FLAG.value else [])
    policies = [p for p in policies if p.name.startswith(_ONLY.value)]
    for site in (LAKESHORE, CONSORTIUM):
        outcomes_by_policy = {
            policy.name: [
                Simulation(site=site, policy=policy, seed=seed).run()
                for seed in range(1, _SEEDS.value + 1)
            ]
            for policy in policies
        }
        _print_site(site, outcomes_by_policy)
    print_timings()


def _print_site(site: Site, outcomes_by_policy: dict[str, list[Outcome]]) -> None:
    titles = {"seed 1": 1}
    if _SEEDS.value > 1:
        titles[f"mean of seeds 1 to {_SEEDS.value}"] = _SEEDS.value
    for title, runs in titles.items():
        print(f"\n{site.name}: {site.servers} servers, {title}\n{HEADER}")
        for name, outcomes in outcomes_by_policy.items():
            _print_row(name, outcomes[:runs])


def _print_row(name: str, outcomes: list[Outcome]) -> None:
    def mean(values: list[float]) -> float:
        return statistics.fmean(values)

    print(
        f"{name:22} {mean([o.attained_per_accelerator for o in outcomes]):14.3f}"
        f" {mean([100 * o.attained / o.offered for o in outcomes]):10.2f}"
        f" {min(100 * o.worst_account_fraction for o in outcomes):15.2f}"
        f" {mean([o.refused for o in outcomes]):8.0f}"
        f" {mean([o.moves for o in outcomes]):6.1f}"
        f" {mean([o.adapter_loads for o in outcomes]):14.1f}"
        f" {mean([o.unreachable_s for o in outcomes]):14.1f}"
        f" {max(o.longest_unreachable_s for o in outcomes):10.1f}"
        f" {max(o.overcommitted_mib for o in outcomes):18}"
    )


if __name__ == "__main__":
    app.run(main)
