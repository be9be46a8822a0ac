"""Deliberately broken variants that show that the checks detect what they count."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any, NamedTuple
from unittest import mock

from jaytray_core.errors import Execution
from jaytray_server.request import service_call
from jaytray_server.request.stream import DeliveredOutput
from jaytray_server.request.tracker import DispatchTracker


class BrokenVariant(NamedTuple):
    """A patch that must make `column` of the verdict positive under `fault`."""

    fault: str
    column: str
    apply_patch: Callable[[], AbstractContextManager[Any]]


def _retry_everything() -> AbstractContextManager[Any]:
    return mock.patch.object(
        service_call, "is_retryable", lambda _error, *, is_repeatable: True
    )


def _always_not_run() -> AbstractContextManager[Any]:
    return mock.patch.object(DispatchTracker, "execution", Execution.NOT_RUN)


@contextmanager
def _resume_from_the_start() -> Iterator[None]:
    add = DeliveredOutput.add

    def add_without_counting(self: DeliveredOutput, piece: Any) -> None:
        add(self, piece)
        self.tokens = 0

    with mock.patch.object(DeliveredOutput, "add", add_without_counting):
        yield


VARIANTS_BY_NAME: dict[str, BrokenVariant] = {
    "retries what may not be repeated": BrokenVariant(
        "crossed", "doubled", _retry_everything
    ),
    "claims not_run after sending": BrokenVariant(
        "answer_lost", "false_not_run", _always_not_run
    ),
    "resumes streams from the start": BrokenVariant(
        "cut", "mixed", _resume_from_the_start
    ),
}
