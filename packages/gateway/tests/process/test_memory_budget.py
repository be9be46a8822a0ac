"""Tests of the choice of connections that are closed to keep within the memory."""

from testtools import TestCase

from jaytray_gateway.process.memory_budget import (
    CALLERS_FRACTION,
    MIN_SPARE_BYTES,
    MIN_UNREAD_S,
    RUNNING_FRACTION,
    Holding,
    MemoryBudget,
    Stage,
    memory_bounds,
)

BOUND = 10_000_000


class MemoryBudgetTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now_s = 100.0
        self.closed: list[str] = []
        self.budget = MemoryBudget(
            bound_bytes=BOUND, max_connections=5, clock=lambda: self.now_s
        )

    def open(
        self, name: str, *, address: str = "a", has_waiting_bytes: bool = False
    ) -> Holding:
        return self.budget.open(
            address,
            close=lambda: self.closed.append(name),
            has_waiting_bytes=lambda: has_waiting_bytes,
        )

    def hold(
        self,
        holding: Holding,
        share: float,
        *,
        stage: Stage = Stage.RECEIVING,
        has_progressed: bool = True,
    ) -> None:
        self.budget.update(
            holding,
            size=int(BOUND * share),
            stage=stage,
            has_progressed=has_progressed,
        )

    def test_the_longest_without_progress_is_closed_first(self) -> None:
        # Bodies that stopped just short of their end filled the memory.
        stalled, steady = self.open("stalled"), self.open("steady")
        self.hold(steady, 0.4)
        self.hold(stalled, 0.4)
        self.now_s += 2.0
        self.hold(steady, 0.45)
        self.hold(self.open("new"), 0.3)
        self.assertEqual(["stalled"], self.closed)

    def test_bytes_without_progress_do_not_count_as_progress(self) -> None:
        dripping, steady = self.open("dripping"), self.open("steady")
        self.hold(dripping, 0.4)
        self.hold(steady, 0.4)
        self.now_s += 2.0
        self.hold(dripping, 0.41, has_progressed=False)
        self.hold(steady, 0.65)
        self.assertEqual(["dripping"], self.closed)

    def test_the_newest_of_many_in_progress_is_closed(self) -> None:
        # If the oldest were closed, none of many concurrent bodies would be completed.
        self.hold(self.open("first"), 0.5)
        self.now_s += 0.1
        self.hold(self.open("second"), 0.4)
        self.now_s += 0.1
        self.hold(self.open("third"), 0.3)
        self.assertEqual(["third"], self.closed)

    def test_an_address_with_more_than_its_share_yields_to_others(self) -> None:
        for number in range(3):
            self.hold(self.open(f"crowd{number}"), 0.3)
        self.now_s += 0.1
        self.hold(self.open("other", address="b"), 0.2)
        self.assertNotIn("other", self.closed)
        self.assertEqual(1, len(self.closed))

    def test_small_requests_in_progress_are_kept(self) -> None:
        self.hold(self.open("large"), 0.95)
        self.now_s += 0.1
        self.hold(self.open("small"), 0.005)
        self.hold(self.open("more"), 0.06)
        self.assertNotIn("small", self.closed)

    def test_a_request_that_may_be_at_a_target_is_never_closed(self) -> None:
        # It could not be refused truthfully as not run.
        self.hold(self.open("running"), 0.7, stage=Stage.RUNNING)
        self.now_s += 60.0
        self.hold(self.open("receiving"), 0.6)
        self.assertEqual(["receiving"], self.closed)

    def test_a_response_unread_for_a_short_time_is_kept(self) -> None:
        self.hold(self.open("unread"), 0.7, stage=Stage.UNREAD)
        self.now_s += MIN_UNREAD_S * 0.9
        self.hold(self.open("receiving"), 0.6)
        self.assertEqual(["receiving"], self.closed)

    def test_a_response_unread_for_long_yields(self) -> None:
        self.hold(self.open("unread"), 0.7, stage=Stage.UNREAD)
        self.now_s += MIN_UNREAD_S
        self.hold(self.open("receiving"), 0.6)
        self.assertEqual(["unread"], self.closed)

    def test_idle_connections_are_closed_before_others_if_there_are_too_many(
        self,
    ) -> None:
        stalled = self.open("stalled")
        self.hold(stalled, 0.1)
        self.now_s += 1.0
        for name in ("idle1", "idle2", "idle3", "idle4"):
            self.open(name)
            self.now_s += 1.0
        new = self.open("new")
        self.hold(new, 0.0, stage=Stage.IDLE)
        self.assertEqual(["idle1"], self.closed)

    def test_a_crowd_without_requests_does_not_displace_kept_connections(self) -> None:
        # All were in use or opened within the last half second.
        kept = self.open("kept")
        self.hold(kept, 0.01, stage=Stage.RUNNING)
        self.hold(kept, 0.0, stage=Stage.IDLE)
        for number in range(8):
            self.now_s += 0.01
            self.hold(self.open(f"crowd{number}"), 0.0, stage=Stage.IDLE)
        self.assertEqual([f"crowd{number}" for number in range(4)], self.closed)

    def test_a_connection_whose_request_was_not_read_yet_is_kept(self) -> None:
        # A thousand connections are accepted at once before any of them is read.
        self.open("request", has_waiting_bytes=True)
        for number in range(5):
            self.now_s += 0.01
            self.hold(self.open(f"crowd{number}"), 0.0, stage=Stage.IDLE)
        self.assertEqual(["crowd0"], self.closed)

    def test_a_new_connection_is_refused_if_all_others_run(self) -> None:
        for number in range(5):
            self.hold(self.open(f"running{number}"), 0.01, stage=Stage.RUNNING)
        self.hold(self.open("new"), 0.0, stage=Stage.IDLE)
        self.assertEqual(["new"], self.closed)

    def test_released_bytes_can_be_used_again(self) -> None:
        first = self.open("first")
        self.hold(first, 0.9)
        self.budget.release(first)
        self.budget.release(first)
        self.hold(self.open("second"), 0.9)
        self.assertEqual([], self.closed)

    def test_requests_that_run_take_a_bounded_part(self) -> None:
        first, second = self.open("first"), self.open("second")
        self.hold(first, RUNNING_FRACTION * 0.6, stage=Stage.RUNNING)
        self.hold(second, RUNNING_FRACTION * 0.6, stage=Stage.RUNNING)
        self.assertFalse(self.budget.may_run(second))
        self.budget.release(first)
        self.assertTrue(self.budget.may_run(second))


class MemoryBoundsTests(TestCase):
    def test_bounds_of_the_smallest_machine(self) -> None:
        bounds = memory_bounds(memory_bytes=160_000_000, max_descriptors=1_638)
        self.assertEqual(42_500_000, bounds.caller_bytes)
        self.assertEqual(719, bounds.max_connections)

    def test_one_request_of_legal_size_always_fits(self) -> None:
        bounds = memory_bounds(memory_bytes=1_000_000, max_descriptors=10)
        self.assertEqual(int(MIN_SPARE_BYTES * CALLERS_FRACTION), bounds.caller_bytes)
        self.assertGreater(bounds.caller_bytes, 3 * 4_194_304)
