"""Admission: decides whether a request may run, for which account and until when."""

from collections.abc import Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.rate_grants import RateGrants
from jaytray_gateway.process.rate_shares import Charge
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import (
    ClientAccount,
    Route,
    RouteTable,
    find_route,
)

# Retry-After while this VM cannot serve. The load balancer takes two seconds to notice,
# but the caller's next connection may reach another VM immediately.
NOT_READY_RETRY_S = 0.3
# Subtracted from a request's time limit, so that the final response arrives in time.
RESPONSE_MARGIN_S = 0.04


class AdmittedRequest(NamedTuple):
    """An admitted request.

    `expires_at_s` is when its final response is due, a little before its time limit.
    """

    request: RoutedRequest
    table_version: int
    route: Route
    account: ClientAccount | None
    charge: Charge | None
    priority: int
    expires_at_s: float

    @property
    def limit_at_s(self) -> float:
        """Return the time limit, until which a response that has begun may last."""
        return self.expires_at_s + RESPONSE_MARGIN_S

    @property
    def account_name(self) -> str:
        """Return the client account's name, or an empty string on a public route."""
        return self.account.name if self.account else ""


class Admission:
    """Admits requests by the route table in force and this VM's share of the rates."""

    def __init__(
        self,
        *,
        directory: Directory,
        lifecycle: Lifecycle,
        grants: RateGrants,
        max_table_age_s: float,
        is_table_confirmed: Callable[[], bool] = lambda: True,
    ) -> None:
        self._directory = directory
        self._lifecycle = lifecycle
        self._grants = grants
        self._max_table_age_s = max_table_age_s
        self._is_table_confirmed = is_table_confirmed

    def route_table(self) -> RouteTable:
        """Return the route table in force; raises if it is missing or may be stale."""
        table = self._directory.route_table
        if table is None:
            raise _temporary_refusal(messages.NOT_READY)
        self.check_freshness()
        return table

    def table_version(self) -> int:
        """Return the route table's version for the log, or 0 if no table is known."""
        table = self._directory.route_table
        return table.version if table is not None else 0

    def table_age_s(self) -> float:
        """Return the maximum age of the copy of the route table and the targets."""
        return self._directory.age_s()

    def find_account(self, name: str) -> ClientAccount | None:
        """Return an account of the route table in force, for the log."""
        return self._directory.find_account(name)

    def check_freshness(self) -> None:
        """Raise unless the route table was recently confirmed to be the newest.

        Otherwise a key that has been withdrawn in the meantime would still be accepted.
        A process that has just started also needs a table as new as other members'.
        """
        if self._directory.age_s() > self._max_table_age_s:
            raise _temporary_refusal(messages.VM_ISOLATED)
        if not self._is_table_confirmed():
            raise _temporary_refusal(messages.NOT_READY)

    def check_route(
        self, request: RoutedRequest
    ) -> tuple[RouteTable, Route, ClientAccount | None]:
        """Return what the request's head selects; raises `JaytrayError`."""
        if self._lifecycle.is_refusing:
            raise _temporary_refusal(messages.SHUTTING_DOWN)
        table = self.route_table()
        route = find_route(table, request.host, request.path)
        if route is None:
            raise JaytrayError(
                messages.ROUTE_UNKNOWN,
                step=Step.ROUTE,
                method=request.method.decode("ascii", "replace"),
                path=request.path,
            )
        account = _authenticate(table, route, request)
        lifecycle = self._lifecycle
        if lifecycle.refuses_late and _due_s(route, request) > lifecycle.ends_at_s:
            raise _temporary_refusal(messages.SHUTTING_DOWN)
        return table, route, account

    async def admit(self, request: RoutedRequest) -> AdmittedRequest:
        """Admit the request and charge its account; raises `JaytrayError`."""
        table, route, account = self.check_route(request)
        charge = None
        if account is not None:
            charge = await self._grants.charge(
                account, _charged_tokens(request, account)
            )
        return AdmittedRequest(
            request=request,
            table_version=table.version,
            route=route,
            account=account,
            charge=charge,
            priority=_priority(route, account),
            expires_at_s=_due_s(route, request),
        )

    def refund(self, admitted: AdmittedRequest) -> None:
        """Refund the tokens of a request that was certainly not run."""
        if admitted.charge is not None:
            self._grants.refund(admitted.charge)


def _due_s(route: Route, request: RoutedRequest) -> float:
    """Return when the final response is due."""
    limit_s = route.timeout_s
    if request.deadline_s is not None:
        limit_s = min(limit_s, request.deadline_s)
    return request.received_at_s + limit_s - RESPONSE_MARGIN_S


def _authenticate(
    table: RouteTable, route: Route, request: RoutedRequest
) -> ClientAccount | None:
    if route.is_public or not table.needs_key:
        return None
    if request.key_digest is None:
        raise JaytrayError(messages.KEY_MISSING, step=Step.AUTHENTICATE)
    name = table.account_by_key_digest.get(request.key_digest)
    if name is None:
        raise JaytrayError(messages.KEY_UNKNOWN, step=Step.AUTHENTICATE)
    return table.accounts_by_name[name]


def _priority(route: Route, account: ClientAccount | None) -> int:
    """Return the account's priority if it has one, else the route's."""
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority


def _charged_tokens(request: RoutedRequest, account: ClientAccount) -> int:
    if not request.has_token_counts:
        return account.tokens_per_plain_request
    return request.prompt_tokens + request.output_tokens


def _temporary_refusal(template: messages.MessageTemplate) -> JaytrayError:
    return JaytrayError(template, step=Step.ADMIT, retry_after_s=NOT_READY_RETRY_S)
