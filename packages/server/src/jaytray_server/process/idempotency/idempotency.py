"""At most one run for each Idempotency-Key, whichever VMs receive its calls.

A call is claimed in the key-value service before it is sent. Later calls with the
same key get the response to the first one, or a refusal that says that it is still
running or that its outcome is unknown.
"""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock, WallClock
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_core.targets import WholeResponse
from jaytray_server.process.idempotency.commits import EntryCommitter
from jaytray_server.process.idempotency.records import (
    MAX_STORED_RESPONSE_BYTES,
    RETENTION_S,
    Entry,
    EntryKind,
    Record,
    StoredResponse,
    digest_key,
    digest_request,
    shard_of,
)

# Timeouts and retry interval for the key-value service, in seconds.
CLAIM_TIMEOUT_S = 2.0
OUTCOME_TIMEOUT_S = 1.0
OUTCOME_RETRY_S = 2.0
EXPIRY_INTERVAL_S = 600.0
# Added to the time limit of a call before its outcome counts as unknown.
RUNNING_MARGIN_S = 5.0
MAX_KEY_CHARACTERS = 255
REPLAYED_HEADER = ("idempotent-replayed", "true")
_RUNNING_RETRY_AFTER_S = 1.0
_OUTAGE_RETRY_AFTER_S = 5.0

_log = get_logger()


class IdempotentCall(NamedTuple):
    """A call with an Idempotency-Key; `max_run_s` is the time limit of its run."""

    key_digest: str
    request_digest: str
    max_run_s: float


class Claim(NamedTuple):
    """The right to run a call until `valid_until_s` on this VM's monotonic clock."""

    call: IdempotentCall
    claim_id: str
    claimed_at_s: float
    valid_until_s: float


def make_call(
    *,
    account: str,
    key: str,
    method: str,
    path: str,
    query: str,
    body: bytes,
    max_run_s: float,
) -> IdempotentCall:
    """Return the call identified by `key` of `account`."""
    return IdempotentCall(
        key_digest=digest_key(account, key),
        request_digest=digest_request(method, path, query, body),
        max_run_s=max_run_s,
    )


class Idempotency:
    """Claims idempotent calls on this VM and records their outcomes."""

    def __init__(
        self, *, committer: EntryCommitter, clock: MonotonicClock, wall_clock: WallClock
    ) -> None:
        self._committer = committer
        self._clock = clock
        self._wall_clock = wall_clock
        self._recording_tasks: set[asyncio.Task[None]] = set()

    async def claim(self, call: IdempotentCall) -> Claim | WholeResponse:
        """Return the right to run `call`, or the response of its earlier run.

        Raises `idempotency_running`, `idempotency_unknown`, `idempotency_key_reused`
        or, when no record could be made, `idempotency_unavailable`.
        """
        began_s = self._clock()
        claim = Claim(
            call=call,
            claim_id=uuid.uuid4().hex,
            claimed_at_s=self._wall_clock(),
            valid_until_s=began_s + call.max_run_s,
        )
        record = await self._commit_claim(claim)
        if record is not None and record.claim_id == claim.claim_id:
            if self._clock() - began_s > CLAIM_TIMEOUT_S:
                self.record_release(claim)
                raise _unavailable("the claim was committed after its timeout")
            return claim
        return await self._earlier_outcome(call, record)

    def check_valid(self, claim: Claim) -> None:
        """Raise `idempotency_unavailable` if the claim expired, e.g. in a pause."""
        if self._clock() > claim.valid_until_s:
            raise _unavailable("the claim expired before the call was sent")

    async def record_response(self, claim: Claim, response: WholeResponse) -> None:
        """Record the response; after a timeout, continue in the background."""
        is_whole = len(response.body) <= MAX_STORED_RESPONSE_BYTES
        kept = StoredResponse(
            status=response.status,
            headers=response.headers,
            body=response.body if is_whole else b"",
            is_whole=is_whole,
        )
        task = self._start_recording(claim, EntryKind.DONE, kept)
        await asyncio.wait((task,), timeout=OUTCOME_TIMEOUT_S)

    def record_unknown(self, claim: Claim) -> None:
        """Record in the background that the call may have run but has no response."""
        self._start_recording(claim, EntryKind.UNKNOWN)

    def record_release(self, claim: Claim) -> None:
        """Record in the background that the call certainly did not run."""
        self._start_recording(claim, EntryKind.RELEASED)

    async def run_expiry(self) -> None:
        """Periodically delete expired segments of the shards that this VM owns."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            for log in self._committer.logs:
                if not self._committer.is_owner(log.shard):
                    continue
                try:
                    await log.delete_expired()
                except JaytrayError as err:
                    _log.info("idempotency_expiry_failed", error=str(err))

    async def close(self, *, max_wait_s: float) -> None:
        """Wait up to `max_wait_s` for pending outcomes to be recorded."""
        if self._recording_tasks:
            await asyncio.wait(set(self._recording_tasks), timeout=max_wait_s)
        for task in self._recording_tasks:
            task.cancel()

    async def _commit_claim(self, claim: Claim) -> Record | None:
        entry = self._make_entry(claim, EntryKind.CLAIMED)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await self._committer.commit(entry)
        except (TimeoutError, JaytrayError) as err:
            self.record_release(claim)
            raise _unavailable(str(err) or "no commit before the timeout") from err
        except asyncio.CancelledError:
            self.record_release(claim)
            raise

    async def _earlier_outcome(
        self, call: IdempotentCall, record: Record | None
    ) -> WholeResponse:
        if record is None:
            raise _unavailable("the claim was released")
        if record.request_digest != call.request_digest:
            raise _refusal(messages.IDEMPOTENCY_KEY_REUSED)
        if record.kind is EntryKind.DONE:
            return await self._replay(call, record)
        if record.kind is EntryKind.CLAIMED:
            if self._wall_clock() <= record.running_until_s:
                raise _refusal(
                    messages.IDEMPOTENCY_RUNNING,
                    execution=Execution.MAY_HAVE_RUN,
                    retry_after_s=_RUNNING_RETRY_AFTER_S,
                )
        raise _refusal(messages.IDEMPOTENCY_UNKNOWN, execution=Execution.MAY_HAVE_RUN)

    async def _replay(self, call: IdempotentCall, record: Record) -> WholeResponse:
        log = self._committer.logs[shard_of(call.key_digest)]
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                kept = await log.read_response(record)
        except (TimeoutError, JaytrayError) as err:
            raise _refusal(
                messages.IDEMPOTENCY_UNREADABLE,
                execution=Execution.MAY_HAVE_RUN,
                retry_after_s=_OUTAGE_RETRY_AFTER_S,
            ) from err
        if kept is None or not kept.is_whole:
            raise _refusal(
                messages.IDEMPOTENCY_ANSWER_NOT_KEPT, execution=Execution.MAY_HAVE_RUN
            )
        headers = [*kept.headers, REPLAYED_HEADER]
        return WholeResponse("", kept.status, headers, kept.body)

    def _start_recording(
        self, claim: Claim, kind: EntryKind, response: StoredResponse | None = None
    ) -> asyncio.Task[None]:
        entry = self._make_entry(claim, kind, response)
        task = asyncio.create_task(self._commit_with_retries(entry))
        self._recording_tasks.add(task)
        task.add_done_callback(self._recording_tasks.discard)
        return task

    async def _commit_with_retries(self, entry: Entry) -> None:
        while self._wall_clock() < entry.at_s + RETENTION_S:
            try:
                await self._committer.commit(entry)
                return
            except JaytrayError as err:
                _log.info("idempotency_outcome_delayed", error=str(err))
            await asyncio.sleep(OUTCOME_RETRY_S)

    def _make_entry(
        self, claim: Claim, kind: EntryKind, response: StoredResponse | None = None
    ) -> Entry:
        running_until_s = claim.claimed_at_s + claim.call.max_run_s + RUNNING_MARGIN_S
        return Entry(
            kind=kind,
            key_digest=claim.call.key_digest,
            request_digest=claim.call.request_digest,
            claim_id=claim.claim_id,
            at_s=claim.claimed_at_s,
            running_until_s=running_until_s,
            response=response,
        )


async def run_once(
    idempotency: Idempotency,
    call: IdempotentCall,
    run: Callable[[Claim], Awaitable[WholeResponse]],
    execution: Callable[[], Execution],
) -> WholeResponse:
    """Return the response of `run`, or that of an earlier run of `call`.

    After a failure, `execution` tells whether the run may have had an effect.
    """
    claim = await idempotency.claim(call)
    if isinstance(claim, WholeResponse):
        return claim
    try:
        response = await run(claim)
    except BaseException:
        if execution() is Execution.NOT_RUN:
            idempotency.record_release(claim)
        else:
            idempotency.record_unknown(claim)
        raise
    await idempotency.record_response(claim, response)
    return response


def check_key(key: str) -> None:
    """Raise `invalid_request` unless `key` is a valid Idempotency-Key."""
    if not key or len(key) > MAX_KEY_CHARACTERS or not key.isascii():
        raise JaytrayError(
            messages.INVALID_REQUEST,
            step=Step.IDEMPOTENCY,
            detail=f"Idempotency-Key needs 1 to {MAX_KEY_CHARACTERS} ASCII characters",
        )


def _unavailable(detail: str) -> JaytrayError:
    return JaytrayError(
        messages.IDEMPOTENCY_UNAVAILABLE,
        step=Step.IDEMPOTENCY,
        peer="kv",
        retry_after_s=_OUTAGE_RETRY_AFTER_S,
        detail=detail,
    )


def _refusal(
    template: messages.MessageTemplate,
    *,
    execution: Execution = Execution.NOT_RUN,
    retry_after_s: float | None = None,
) -> JaytrayError:
    return JaytrayError(
        template,
        step=Step.IDEMPOTENCY,
        execution=execution,
        retry_after_s=retry_after_s,
    )
