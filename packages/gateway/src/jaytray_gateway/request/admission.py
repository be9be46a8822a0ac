"""Admission: may this request run at all, for whom and until when."""

from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.rate_gifts import RateGifts
from jaytray_gateway.process.rate_shares import Charge
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import (
    ClientAccount,
    Route,
    RouteTable,
    find_route,
)

# Time to come back to a VM that cannot serve now; the balancer needs two seconds to
# notice, but the caller's next connection may reach another VM at once.
NOT_READY_RETRY_S = 0.3
# Time before a limit at which the final answer is given, so that it arrives in time.
ANSWER_MARGIN_S = 0.04


class Admitted(NamedTuple):
    """A request that may run; `expires_at_s` is when its final answer is due."""

    request: RoutedRequest
    table_version: int
    route: Route
    account: ClientAccount | None
    charge: Charge | None
    priority: int
    expires_at_s: float

    @property
    def account_name(self) -> str:
        """Return the client account's name, empty on a public route."""
        return self.account.name if self.account else ""


class Admission:
    """Admits requests by the version in force and the own part of rates."""

    def __init__(
        self,
        *,
        directory: Directory,
        lifecycle: Lifecycle,
        gifts: RateGifts,
        max_proof_age_s: float,
    ) -> None:
        self._directory = directory
        self._lifecycle = lifecycle
        self._gifts = gifts
        self._max_proof_age_s = max_proof_age_s

    def table(self) -> RouteTable:
        """Return the version in force; raises when none is known or it may be old."""
        table = self._directory.route_table
        if table is None:
            raise _not_now(messages.NOT_READY)
        self.check_proof()
        return table

    def version(self) -> int:
        """Return the version in force, 0 when none is known, for the log."""
        table = self._directory.route_table
        return table.version if table is not None else 0

    def account(self, name: str) -> ClientAccount | None:
        """Return an account of the version in force, for the log."""
        return self._directory.find_account(name)

    def check_proof(self) -> None:
        """Raise unless the version in force was recently seen to be the newest.

        A key that was withdrawn meanwhile would be unknown here otherwise.
        """
        if self._directory.age_s() > self._max_proof_age_s:
            raise _not_now(messages.VM_ISOLATED)

    async def admit(self, request: RoutedRequest) -> Admitted:
        """Return the admitted request, charged; raises `JaytrayError`."""
        if self._lifecycle.is_refusing:
            raise _not_now(messages.SHUTTING_DOWN)
        table = self.table()
        route = find_route(table, request.host, request.path)
        if route is None:
            raise JaytrayError(
                messages.ROUTE_UNKNOWN,
                step=Step.ROUTE,
                method=request.method.decode("ascii", "replace"),
                path=request.path,
            )
        account = _authenticate(table, route, request)
        charge = None
        if account is not None:
            charge = await self._gifts.charge(account, _tokens(request, account))
        limit_s = route.timeout_s
        if request.deadline_s is not None:
            limit_s = min(limit_s, request.deadline_s)
        return Admitted(
            request=request,
            table_version=table.version,
            route=route,
            account=account,
            charge=charge,
            priority=_priority(route, account),
            expires_at_s=request.received_at_s + limit_s - ANSWER_MARGIN_S,
        )


def _authenticate(
    table: RouteTable, route: Route, request: RoutedRequest
) -> ClientAccount | None:
    if route.is_public or not table.accounts_by_name:
        return None
    if request.key_digest is None:
        raise JaytrayError(messages.KEY_MISSING, step=Step.AUTHENTICATE)
    name = table.account_by_key_digest.get(request.key_digest)
    if name is None:
        raise JaytrayError(messages.KEY_UNKNOWN, step=Step.AUTHENTICATE)
    return table.accounts_by_name[name]


def _priority(route: Route, account: ClientAccount | None) -> int:
    """Return the account's rank where it has one, else the route's."""
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority


def _tokens(request: RoutedRequest, account: ClientAccount) -> int:
    if not request.is_metered:
        return account.tokens_per_plain_request
    return request.prompt_tokens + request.output_tokens


def _not_now(template: messages.MessageTemplate) -> JaytrayError:
    return JaytrayError(template, step=Step.ADMIT, retry_after_s=NOT_READY_RETRY_S)
