"""Tests of rates between members whose messages are delayed by busy links."""

import asyncio
import random

from testtools import TestCase

from jaytray_core.errors import JaytrayError
from jaytray_gateway.process.rate_grants import MAX_ASKING_S, RateGrants
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.version.route_table import CallerLimits, ClientAccount, RouteTable
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork

ACCOUNT = ClientAccount("barns", None, True, 200, 30_000.0, 30_000.0)
TABLE = RouteTable(1, {}, {}, {"barns": ACCOUNT}, {}, CallerLimits(1, 1, 1.0, 1.0))
MEMBERS = 40
REQUEST_TOKENS = 1_500
# Of the account's rate.
LOAD = 0.5
# A message over a link whose queue holds some tens of kilobytes.
BUSY_DELAYS_S = (0.02, 0.06)
SETTLE_S = 2.0
OBSERVED_S = 8.0


class Fleet:
    """Members that grant each other tokens of one account."""

    def __init__(self, seed: int) -> None:
        ids = [f"vm{number}" for number in range(MEMBERS)]
        self.rng = random.Random(seed)
        self.network = MemberNetwork(ids, random.Random(seed))
        clock = asyncio.get_running_loop().time
        self.grants: list[RateGrants] = []
        self.refused = 0
        self.longest_s = 0.0
        for own_id in ids:
            shares = RateShares(own_id=own_id, clock=clock)
            self.grants.append(
                RateGrants(
                    shares=shares,
                    peers=self.network.peers_of(own_id),
                    find_account=TABLE.accounts_by_name.get,
                    clock=clock,
                    rng=self.rng,
                )
            )
            shares.set_members(frozenset(ids))
            shares.sync_accounts(TABLE)

    async def request(self) -> None:
        """Charge one request at any member."""
        begun_s = asyncio.get_running_loop().time()
        try:
            await self.rng.choice(self.grants).charge(ACCOUNT, REQUEST_TOKENS)
        except JaytrayError:
            self.refused += 1
        took_s = asyncio.get_running_loop().time() - begun_s
        self.longest_s = max(self.longest_s, took_s)

    async def run(self, duration_s: float) -> float:
        """Return the share of requests that were refused."""
        self.refused = 0
        tasks = []
        interval_s = REQUEST_TOKENS / (ACCOUNT.rate_per_s * LOAD)
        for _ in range(round(duration_s / interval_s)):
            tasks.append(asyncio.create_task(self.request()))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)
        return self.refused / len(tasks)


class BusyLinkTests(TestCase):
    def test_requests_within_the_rate_are_admitted(self) -> None:
        # stc-meals-grown: 429 for as long as a large route table filled the links.
        async def check(seed: int) -> None:
            fleet = Fleet(seed)
            await fleet.run(SETTLE_S)
            fleet.network.delays_s = BUSY_DELAYS_S
            await fleet.run(SETTLE_S)
            self.assertLess(await fleet.run(OBSERVED_S), 0.02)

        for seed in range(3):
            run_virtual(check(seed))

    def test_members_that_do_not_reply_are_not_awaited_for_long(self) -> None:
        async def check() -> None:
            fleet = Fleet(1)
            fleet.network.delays_s = BUSY_DELAYS_S
            await fleet.run(SETTLE_S)
            fleet.network.loss = 1.0
            await fleet.run(SETTLE_S)
            self.assertLess(fleet.longest_s, MAX_ASKING_S + 0.01)

        run_virtual(check())
