"""Tokens that members with some to spare give to members that are short.

The giver takes the tokens out of its part before it sends them, so their sum stays
the same whatever is lost or late. Only members that last reported enough are asked.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import JaytrayError, Step
from jaytray_gateway.process.rate_shares import Charge, RateShares
from jaytray_gateway.version.route_table import ClientAccount, RouteTable
from jaytray_server.ports import PeerNetwork

# Longest wait for a gift: several ways between failure domains.
GIFT_WAIT_S = 0.03
# Members asked for one request.
MAX_ASKED = 2
# Shortest and longest time to come back that a refusal states.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 3.0

_ASK = "gateway.rate_ask"
_GIFT = "gateway.rate_gift"


class _Ask(NamedTuple):
    number: int
    account: str
    tokens: float


class _Gift(NamedTuple):
    number: int
    account: str
    tokens: float


class RateGifts:
    """Charges requests to the own part, topped up by gifts."""

    def __init__(
        self,
        *,
        shares: RateShares,
        peers: PeerNetwork,
        current_table: Callable[[], RouteTable | None],
    ) -> None:
        self._shares = shares
        self._peers = peers
        self._current_table = current_table
        self._levels_by_member: dict[str, dict[str, float]] = {}
        self._numbers = itertools.count(1)
        self._waiter_by_number: dict[int, asyncio.Future[None]] = {}
        peers.set_handler(_ASK, self._take_ask)
        peers.set_handler(_GIFT, self._take_gift)

    def set_peer_levels(
        self, member_id: str, level_by_account: dict[str, float]
    ) -> None:
        """Take the tokens that another member reports to have at hand."""
        self._levels_by_member[member_id] = level_by_account

    async def charge(self, account: ClientAccount, tokens: int) -> Charge:
        """Take a request's tokens; raises `rate_exceeded`."""
        cost = float(tokens if account.counts_tokens else 1)
        self._shares.demand.add(account.name, cost)
        charge = self._shares.try_charge(account, cost)
        for member in self._members_to_ask(account, cost) if charge is None else ():
            await self._ask(member, account, cost)
            charge = self._shares.try_charge(account, cost)
            if charge is not None:
                break
        if charge is not None:
            return charge
        wait_s = self._shares.wait_s(account, cost)
        raise JaytrayError(
            messages.RATE_EXCEEDED,
            step=Step.ADMIT,
            retry_after_s=min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)),
            peer=account.name,
            account=account.name,
        )

    def _members_to_ask(self, account: ClientAccount, cost: float) -> list[str]:
        levels = [
            (levels.get(account.name, 0.0), member)
            for member, levels in self._levels_by_member.items()
            if member in self._shares.member_ids
        ]
        able = sorted((pair for pair in levels if pair[0] >= cost / 2), reverse=True)
        return [member for _, member in able[:MAX_ASKED]]

    async def _ask(self, member: str, account: ClientAccount, cost: float) -> None:
        number = next(self._numbers)
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiter_by_number[number] = waiter
        ask = _Ask(number, account.name, cost)
        # Until its next report the member is taken to have that much less.
        self._levels_by_member[member][account.name] -= cost
        try:
            if self._peers.send(member, _ASK, encode_msgpack(ask)):
                async with asyncio.timeout(GIFT_WAIT_S):
                    await waiter
        except TimeoutError:
            pass
        finally:
            del self._waiter_by_number[number]

    def _take_ask(self, sender: str, body: bytes) -> None:
        ask = decode_msgpack(body, _Ask, peer=sender)
        account = self._account(ask.account)
        if account is None or ask.tokens <= 0:
            return
        given = self._shares.give(account, ask.tokens)
        gift = _Gift(ask.number, ask.account, given)
        self._peers.send(sender, _GIFT, encode_msgpack(gift))

    def _take_gift(self, sender: str, body: bytes) -> None:
        gift = decode_msgpack(body, _Gift, peer=sender)
        account = self._account(gift.account)
        if account is not None:
            self._shares.receive(account, gift.tokens)
        waiter = self._waiter_by_number.get(gift.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _account(self, name: str) -> ClientAccount | None:
        table = self._current_table()
        return table.accounts_by_name.get(name) if table else None
