"""Storage of deferred jobs: submission, lookup, completion and expiry."""

import asyncio
from typing import NamedTuple, TypeVar

from jaytray_core import message_registry as messages
from jaytray_core.clock import WallClock
from jaytray_core.codec import decode_json, encode_json
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_server.process.deferred.records import (
    JOB_LIFETIME_S,
    JOB_PREFIX,
    RESULT_PREFIX,
    RESULT_RETENTION_S,
    Job,
    JobResult,
    job_key,
    result_key,
)

T = TypeVar("T")
# Time limit for a submission, including finding out whether an uncertain write
# took effect, in seconds.
SUBMIT_TIMEOUT_S = 5.0
_RETRY_PAUSE_S = 0.1
_RETRY_AFTER_S = 5.0


class JobStatus(NamedTuple):
    """Status of a job; `result` is None while the job waits or runs."""

    job_id: str
    result: JobResult | None


class DeferredStore:
    """Reads and writes the jobs and results of all client accounts."""

    def __init__(self, *, key_value: KeyValueService, wall_clock: WallClock) -> None:
        self._key_value = key_value
        self._wall_clock = wall_clock

    async def submit(self, job: Job) -> None:
        """Store `job`; it is durable when this returns.

        A job that is already stored under its Idempotency-Key is left unchanged.
        Raises `deferred_unavailable` when the job certainly was not stored,
        `deferred_uncertain` when that cannot be determined, and
        `idempotency_key_reused` for a different request under the same key.
        """
        submission = _Submission(job=job, key_value=self._key_value)
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_S):
                await submission.run()
        except TimeoutError as err:
            raise submission.failure("no confirmed write before the timeout") from err

    async def find(self, job_id: str, account: str) -> JobStatus:
        """Return the status of a job of `account`; raises `not_found`."""
        result = await self._get(result_key(job_id), JobResult)
        if result is not None and result.account == account:
            return JobStatus(job_id, result)
        job = await self._get(job_key(job_id), Job)
        if job is not None and job.account == account:
            return JobStatus(job_id, None)
        # The job may have finished between the two reads.
        result = await self._get(result_key(job_id), JobResult)
        if result is not None and result.account == account:
            return JobStatus(job_id, result)
        raise JaytrayError(
            messages.NOT_FOUND, step=Step.DEFERRED, what="deferred job", name=job_id
        )

    async def list_jobs(self, shard: int) -> list[Job]:
        """Return the unfinished jobs of `shard`, the oldest first."""
        found = await self._key_value.get_prefix(f"{JOB_PREFIX}{shard:02d}/")
        jobs = [decode_json(record.value, Job, peer="kv") for record in found]
        return sorted(jobs, key=lambda job: job.submitted_at_s)

    async def finish(self, result: JobResult) -> None:
        """Store the result unless one exists, then delete the job.

        Raises `JaytrayError`; the job then remains stored and may run again.
        """
        key = result_key(result.job_id)
        try:
            await self._key_value.compare_and_swap(
                key, ABSENT_REVISION, encode_json(result), ""
            )
        except JaytrayError as err:
            if err.code != messages.KEY_VALUE_UNCERTAIN.code:
                raise
            if await self._key_value.get(key) is None:
                raise
        await self._delete(job_key(result.job_id))

    async def has_result(self, job_id: str) -> bool:
        """Return whether a job has a result; if so, delete a remaining job record."""
        if await self._key_value.get(result_key(job_id)) is None:
            return False
        await self._delete(job_key(job_id))
        return True

    async def delete_expired_results(self, shard: int) -> int:
        """Delete results older than `RESULT_RETENTION_S`; return how many."""
        found = await self._key_value.get_prefix(f"{RESULT_PREFIX}{shard:02d}/")
        oldest_kept_s = self._wall_clock() - RESULT_RETENTION_S
        deleted = 0
        for record in found:
            result = decode_json(record.value, JobResult, peer="kv")
            if result.finished_at_s < oldest_kept_s:
                await self._key_value.compare_and_swap(
                    record.key, record.revision, None, ""
                )
                deleted += 1
        return deleted

    def is_expired(self, job: Job) -> bool:
        """Return whether `job` was submitted more than `JOB_LIFETIME_S` ago."""
        return job.submitted_at_s < self._wall_clock() - JOB_LIFETIME_S

    async def _get(self, key: str, value_type: type[T]) -> T | None:
        found = await self._key_value.get(key)
        if found is None:
            return None
        return decode_json(found.value, value_type, peer="kv")

    async def _delete(self, key: str) -> None:
        found = await self._key_value.get(key)
        if found is not None:
            await self._key_value.compare_and_swap(key, found.revision, None, "")


class _Submission:
    """The submission of one job; tracks whether a write may have taken effect."""

    def __init__(self, *, job: Job, key_value: KeyValueService) -> None:
        self._job = job
        self._key_value = key_value
        self._may_be_stored = False

    async def run(self) -> None:
        """Retry the write until the job is known to be stored."""
        while True:
            try:
                if await self._try_write():
                    return
            except JaytrayError as err:
                if err.code == messages.KEY_VALUE_UNCERTAIN.code:
                    self._may_be_stored = True
                elif not self._may_be_stored:
                    raise self.failure(err.text) from err
            await asyncio.sleep(_RETRY_PAUSE_S)

    def failure(self, detail: str) -> JaytrayError:
        """Return the refusal for a job that is not known to be stored."""
        if self._may_be_stored:
            return JaytrayError(
                messages.DEFERRED_UNCERTAIN,
                step=Step.DEFERRED,
                peer="kv",
                execution=Execution.MAY_HAVE_RUN,
                retry_after_s=_RETRY_AFTER_S,
                job_id=self._job.job_id,
            )
        return JaytrayError(
            messages.DEFERRED_UNAVAILABLE,
            step=Step.DEFERRED,
            peer="kv",
            retry_after_s=_RETRY_AFTER_S,
            detail=detail,
        )

    async def _try_write(self) -> bool:
        key = job_key(self._job.job_id)
        if self._job.idempotency_key and await self._has_result():
            return True
        was_uncertain, self._may_be_stored = self._may_be_stored, True
        try:
            result = await self._key_value.compare_and_swap(
                key, ABSENT_REVISION, encode_json(self._job), ""
            )
        except JaytrayError as err:
            is_lost = err.code == messages.KEY_VALUE_UNCERTAIN.code
            self._may_be_stored = was_uncertain or is_lost
            raise
        if result.is_swapped:
            return True
        self._may_be_stored = was_uncertain
        found = await self._key_value.get(key)
        if found is None:
            return False
        return self._is_same(decode_json(found.value, Job, peer="kv"))

    async def _has_result(self) -> bool:
        found = await self._key_value.get(result_key(self._job.job_id))
        return found is not None

    def _is_same(self, stored: Job) -> bool:
        mine = (self._job.method, self._job.path, self._job.body)
        if mine != (stored.method, stored.path, stored.body):
            raise JaytrayError(messages.IDEMPOTENCY_KEY_REUSED, step=Step.DEFERRED)
        return True
