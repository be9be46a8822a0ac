"""How long the targets of each service take to answer, as seen by this process.

Times are compared as multiples of the time that a request is expected to take by its
own size, so that large and small requests can be compared.
"""

# An answer that takes this multiple of its peers' average is slow. The speeds of sound
# targets of a service differ by up to 2.7.
SLOW_FACTOR = 4.0
# Weight of one answer in the moving average.
ANSWER_WEIGHT = 0.05
# Answers needed before any is called slow.
MIN_ANSWERS = 10


class AnswerTimes:
    """Moving averages of the answer times by service."""

    def __init__(self) -> None:
        self._average_by_service: dict[str, float] = {}
        self._count_by_service: dict[str, int] = {}

    def record(self, service: str, multiple: float) -> None:
        """Record the answer of a target that is not recovering."""
        average = self._average_by_service.setdefault(service, multiple)
        self._average_by_service[service] = average + ANSWER_WEIGHT * (
            multiple - average
        )
        count = self._count_by_service.get(service, 0)
        self._count_by_service[service] = count + 1

    def slow_multiple(self, service: str) -> float | None:
        """Return from when on an answer is slow by its peers, None if not known."""
        if self._count_by_service.get(service, 0) < MIN_ANSWERS:
            return None
        return SLOW_FACTOR * self._average_by_service[service]

    def is_slow(self, service: str, multiple: float) -> bool:
        """Return whether an answer is several times slower than those of its peers."""
        slow = self.slow_multiple(service)
        return slow is not None and multiple > slow
