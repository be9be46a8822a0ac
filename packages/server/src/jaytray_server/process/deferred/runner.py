"""Runs the deferred jobs of the shards that this VM has locked.

A job is retried until it has a response, fails permanently or expires. When its VM
dies, another VM locks the shard and runs the job again. The Idempotency-Key of a job
that must not be repeated limits it to one run.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock, WallClock
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_core.refusal_body import encode_refusal
from jaytray_core.targets import WholeResponse
from jaytray_server.process.deferred.leases import ShardLeases
from jaytray_server.process.deferred.records import (
    JOB_LIFETIME_S,
    MAX_RESULT_BODY_BYTES,
    Job,
    JobResult,
)
from jaytray_server.process.deferred.store import DeferredStore
from jaytray_server.request.refusals import internal_error

# Interval of checking the lease and of reading shards that have jobs.
POLL_INTERVAL_S = 4.0
# Shards without jobs are read only once in this many polls.
POLLS_PER_IDLE_READ = 4
MAX_RUNNING_JOBS = 8
INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_S = 60.0
POLLS_PER_EXPIRY = 400

# Runs one job and returns its response; raises `JaytrayError`.
RunJob = Callable[[Job], Awaitable[WholeResponse]]

_log = get_logger()


class Retry(NamedTuple):
    """When a job may be retried, on the monotonic clock, and its last backoff."""

    at_s: float
    backoff_s: float
    last_failure: str


class DeferredRunner:
    """Starts, retries and finishes deferred jobs on this VM."""

    def __init__(
        self,
        *,
        store: DeferredStore,
        leases: ShardLeases,
        run_job: RunJob,
        may_start: Callable[[], bool],
        clock: MonotonicClock,
        wall_clock: WallClock,
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._store = store
        self._leases = leases
        self._run_job = run_job
        self._may_start = may_start
        self._clock = clock
        self._wall_clock = wall_clock
        self._poll_interval_s = poll_interval_s
        self._tasks_by_job_id: dict[str, asyncio.Task[None]] = {}
        self._retries_by_job_id: dict[str, Retry] = {}
        self._polls_left_by_shard: dict[int, int] = {}

    async def run(self) -> None:
        """Lock shards and run their jobs until cancelled."""
        polls = 0
        try:
            while True:
                polls += 1
                await self._poll(expire=polls % POLLS_PER_EXPIRY == 0)
                await asyncio.sleep(self._poll_interval_s)
        finally:
            for task in self._tasks_by_job_id.values():
                task.cancel()

    async def stop(self) -> None:
        """Wait for running jobs, then release the shards, at a planned stop."""
        tasks = list(self._tasks_by_job_id.values())
        await asyncio.gather(*tasks, return_exceptions=True)
        try:
            await self._leases.release()
        except JaytrayError as err:
            _log.info("deferred_lease_left_to_expire", error=str(err))

    async def _poll(self, *, expire: bool) -> None:
        if not self._may_start():
            return
        try:
            await self._leases.renew()
            for shard in self._leases.held_shards():
                if self._is_shard_due(shard):
                    jobs = await self._store.list_jobs(shard)
                    self._polls_left_by_shard[shard] = (
                        0 if jobs else POLLS_PER_IDLE_READ - 1
                    )
                    await self._start_jobs(jobs)
                if expire:
                    await self._store.delete_expired_results(shard)
        except JaytrayError as err:
            _log.info("deferred_poll_failed", error=str(err))

    def _is_shard_due(self, shard: int) -> bool:
        polls_left = self._polls_left_by_shard.get(shard, 0)
        self._polls_left_by_shard[shard] = polls_left - 1
        return polls_left <= 0

    async def _start_jobs(self, jobs: list[Job]) -> None:
        for job in jobs:
            if len(self._tasks_by_job_id) >= MAX_RUNNING_JOBS:
                return
            if not self._may_start() or not self._leases.is_valid:
                return
            if not self._is_due(job) or await self._store.has_result(job.job_id):
                continue
            task = asyncio.create_task(self._run(job))
            self._tasks_by_job_id[job.job_id] = task

    def _is_due(self, job: Job) -> bool:
        if job.job_id in self._tasks_by_job_id:
            return False
        retry = self._retries_by_job_id.get(job.job_id)
        return retry is None or retry.at_s <= self._clock()

    async def _run(self, job: Job) -> None:
        try:
            result = await self._run_to_result(job)
            if result is not None:
                await self._store.finish(result)
                self._retries_by_job_id.pop(job.job_id, None)
                _log.info("deferred_finished", job=job.job_id, status=result.status)
        except JaytrayError as err:
            self._retry_later(job, err)
        finally:
            self._tasks_by_job_id.pop(job.job_id, None)

    async def _run_to_result(self, job: Job) -> JobResult | None:
        try:
            if self._store.is_expired(job):
                raise self._expired_error(job)
            response = await self._run_job(job)
        except JaytrayError as err:
            if not is_permanent(err):
                self._retry_later(job, err)
                return None
            return self._refusal_result(job, err)
        except Exception:
            _log.exception("internal_error", job=job.job_id)
            return self._refusal_result(job, internal_error(Execution.MAY_HAVE_RUN))
        if len(response.body) > MAX_RESULT_BODY_BYTES:
            return self._refusal_result(job, _response_too_large(len(response.body)))
        return self._job_result(job, response.status, response.body, is_refusal=False)

    def _refusal_result(self, job: Job, error: JaytrayError) -> JobResult:
        body = encode_refusal(error)
        return self._job_result(job, error.status, body, is_refusal=True)

    def _job_result(
        self, job: Job, status: int, body: bytes, *, is_refusal: bool
    ) -> JobResult:
        return JobResult(
            job_id=job.job_id,
            account=job.account,
            status=status,
            body=body,
            is_refusal=is_refusal,
            finished_at_s=self._wall_clock(),
        )

    def _retry_later(self, job: Job, error: JaytrayError) -> None:
        previous = self._retries_by_job_id.get(job.job_id)
        backoff_s = min(
            MAX_BACKOFF_S, previous.backoff_s * 2 if previous else INITIAL_BACKOFF_S
        )
        wait_s = max(backoff_s, error.retry_after_s or 0.0)
        self._retries_by_job_id[job.job_id] = Retry(
            self._clock() + wait_s, backoff_s, error.text
        )
        _log.info("deferred_retry", job=job.job_id, code=error.code, wait_s=wait_s)

    def _expired_error(self, job: Job) -> JaytrayError:
        retry = self._retries_by_job_id.get(job.job_id)
        return JaytrayError(
            messages.DEFERRED_EXPIRED,
            step=Step.DEFERRED,
            execution=Execution.MAY_HAVE_RUN,
            hours=round(JOB_LIFETIME_S / 3600),
            detail=retry.last_failure if retry else "none",
        )


def is_permanent(error: JaytrayError) -> bool:
    """Return whether a retry of the job would fail in the same way.

    Client errors are permanent except those in `_TRANSIENT_CODES`, which pass with
    time. `idempotency_unknown`, for a job that may have run, is therefore permanent.
    """
    if error.code in _TRANSIENT_CODES:
        return False
    return error.status < 500 or error.code == messages.DEFERRED_EXPIRED.code


_TRANSIENT_CODES = frozenset(
    template.code for template in (messages.RATE_EXCEEDED, messages.IDEMPOTENCY_RUNNING)
)


def _response_too_large(length: int) -> JaytrayError:
    return JaytrayError(
        messages.TARGET_FAILED,
        step=Step.DEFERRED,
        execution=Execution.MAY_HAVE_RUN,
        detail=f"response of {length} bytes is too large to store as a deferred result",
    )
