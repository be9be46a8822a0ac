"""Tests of retryable failures, the retry budget and the state of execution."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_server.request.retry import (
    BACKOFF_MAX_S,
    RetryBudget,
    backoff_s,
    is_retryable,
)
from jaytray_server.request.tracker import DispatchTracker

NOT_RUN, MAY_HAVE_RUN = Execution.NOT_RUN, Execution.MAY_HAVE_RUN


def _error(
    template: messages.MessageTemplate,
    execution: Execution,
    retry_after_s: float | None = None,
) -> JaytrayError:
    return JaytrayError(
        template,
        step=Step.TARGET,
        execution=execution,
        retry_after_s=retry_after_s,
        detail="",
        timeout_s=1,
        account="",
    )


class RetryableTests(TestCase):
    @parameterized.expand(
        [
            ("repeatable", messages.TARGET_TIMEOUT, MAY_HAVE_RUN, True, True),
            ("once_sent", messages.TARGET_TIMEOUT, MAY_HAVE_RUN, False, False),
            ("once_unsent", messages.TARGET_UNREACHABLE, NOT_RUN, False, True),
            ("once_cut", messages.TARGET_UNREACHABLE, MAY_HAVE_RUN, False, False),
            ("once_refused", messages.TARGET_REFUSED, NOT_RUN, False, False),
            ("rate", messages.RATE_EXCEEDED, NOT_RUN, True, False),
        ]
    )
    def test_is_retryable(
        self,
        _name: str,
        template: messages.MessageTemplate,
        execution: Execution,
        is_repeatable: bool,
        expected: bool,
    ) -> None:
        error = _error(template, execution)
        found = is_retryable(error, is_repeatable=is_repeatable)
        self.assertEqual(expected, found)

    def test_long_retry_after_is_left_to_the_caller(self) -> None:
        error = _error(messages.TARGET_REFUSED, NOT_RUN, retry_after_s=30.0)
        self.assertFalse(is_retryable(error, is_repeatable=True))


class BudgetTests(TestCase):
    def test_retries_are_a_fraction_of_first_attempts(self) -> None:
        budget = RetryBudget(ratio=0.2, max_retries=5)
        retries = 0
        for _ in range(1000):
            budget.record_first_attempt()
            while budget.take():
                retries += 1
        self.assertLessEqual(retries, 0.2 * 1000 + 5)
        self.assertGreater(retries, 0.2 * 1000 - 5)

    def test_backoff_is_bounded_and_honours_retry_after(self) -> None:
        waits = [backoff_s(attempt) for attempt in range(1, 30)]
        self.assertLessEqual(max(waits), BACKOFF_MAX_S)
        self.assertGreaterEqual(min(waits), 0.0)
        self.assertGreaterEqual(backoff_s(1, 1.5), 1.5)


class TrackerTests(TestCase):
    @parameterized.expand(
        [
            ("nothing", [], False, NOT_RUN),
            ("under_way", [], True, MAY_HAVE_RUN),
            ("refused", [NOT_RUN], False, NOT_RUN),
            ("refused_then_under_way", [NOT_RUN], True, MAY_HAVE_RUN),
            ("sent_then_refused", [MAY_HAVE_RUN, NOT_RUN], False, MAY_HAVE_RUN),
        ]
    )
    def test_execution(
        self,
        _name: str,
        failures: list[Execution],
        under_way: bool,
        expected: Execution,
    ) -> None:
        tracker = DispatchTracker()
        for execution in failures:
            tracker.begin()
            tracker.fail("t1", _error(messages.TARGET_REFUSED, execution))
        if under_way:
            tracker.begin()
        self.assertEqual(expected, tracker.execution)
