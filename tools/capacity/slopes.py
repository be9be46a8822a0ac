"""Measures a cost at several sizes and fits a straight line to it."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import NamedTuple

# Minimum processor time of one measurement, so that the timer is precise enough.
MIN_MEASURED_S = 0.1


class Slope(NamedTuple):
    """Fitted line: cost = `base` + `per_item` x size.

    `unit` is the unit of the cost, `item` names what the size counts, and `points` are
    the measured (size, cost) pairs.
    """

    name: str
    unit: str
    item: str
    base: float
    per_item: float
    points: tuple[tuple[float, float], ...]

    def at(self, size: float) -> float:
        """Return the cost extrapolated to `size`, at least zero."""
        return max(0.0, self.base + self.per_item * size)


def fit_slope(
    name: str, *, unit: str, item: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Fit a line to the measured points by least squares."""
    line = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return Slope(name, unit, item, line.intercept, line.slope, tuple(points))


def cpu_us(work: Callable[[], object]) -> float:
    """Return the processor time of one call of `work` in microseconds."""
    calls = 1
    while True:
        started_s = time.process_time()
        for _call in range(calls):
            work()
        spent_s = time.process_time() - started_s
        if spent_s >= MIN_MEASURED_S:
            return spent_s / calls * 1e6
        calls *= 4


def measure_slope(
    name: str,
    *,
    item: str,
    sizes: Sequence[int],
    make_work: Callable[[int], Callable[[], object]],
) -> Slope:
    """Measure the processor time of `make_work(size)` at each size."""
    points = [(float(size), cpu_us(make_work(size))) for size in sizes]
    return fit_slope(name, unit="us", item=item, points=points)


def memory_slope(
    name: str, *, item: str, sizes: Sequence[int], make: Callable[[int], object]
) -> Slope:
    """Measure the bytes that the result of `make(size)` takes, at each size."""
    points = [(float(size), _retained_bytes(make, size)) for size in sizes]
    return fit_slope(name, unit="bytes", item=item, points=points)


def _retained_bytes(make: Callable[[int], object], size: int) -> float:
    make(size)
    tracemalloc.start()
    before, _peak = tracemalloc.get_traced_memory()
    kept = make(size)
    after, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(after - before)
