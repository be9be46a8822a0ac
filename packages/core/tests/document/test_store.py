"""Tests of versions in the key-value service: races, lost and repeated calls."""

import asyncio
from collections.abc import Awaitable, Callable

from hypothesis import given, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core import document_messages, message_registry as messages
from jaytray_core.document import store
from jaytray_core.document.part_collection import collect_unused_parts
from jaytray_core.document.part_store import PARTS_PREFIX, UNUSED_PART_GRACE_S
from jaytray_core.document.parts import Head, make_body
from jaytray_core.document.sections import Section
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService, SwapResult
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual

SWAP = "compare_and_swap"
FAULT_KINDS = [
    FaultKind.DOWN,
    FaultKind.REQUEST_LOST,
    FaultKind.ANSWER_LOST,
    FaultKind.LATE,
    FaultKind.DOUBLED,
    FaultKind.REORDERED,
]


class Service:
    """The key-value stand-in on virtual time; each operator has its own connection."""

    def __init__(self) -> None:
        self.clock = asyncio.get_running_loop().time
        self.store = KeyValueStore(clock=self.clock, sleep=asyncio.sleep)

    def connect(self, *faults: Fault) -> KeyValueService:
        switches = FaultSwitches()
        for fault in faults:
            switches.set(fault)
        return in_process_key_value(self.store, switches)

    async def apply(
        self, key_value: KeyValueService, based_on: int, value: int, author: str = "o"
    ) -> Head:
        change = store.Change("trial", based_on, author, "")
        return await store.apply(key_value, change, sections(value), clock=self.clock)


def sections(value: int) -> list[Section]:
    """Return sections in several buckets, one of which depends on `value`."""
    fixed = [Section(f"model m{i}", {"memory_mib": "1"}) for i in range(9)]
    return [*fixed, Section("model changing", {"memory_mib": str(value)})]


async def outcome_of(applying: Awaitable[Head]) -> str:
    """Return `done` or the code of the error."""
    try:
        await applying
    except JaytrayError as err:
        return err.code
    return "done"


CASES = [
    # (name, fault of the connection, expected outcome, is the change applied)
    ("answer lost once", Fault(FaultKind.ANSWER_LOST, SWAP, 1), "done", True),
    ("answer lost twice", Fault(FaultKind.ANSWER_LOST, SWAP, 2), "done", True),
    ("answers always lost", Fault(FaultKind.ANSWER_LOST, SWAP), "done", True),
    ("request lost once", Fault(FaultKind.REQUEST_LOST, SWAP, 1), "done", True),
    (
        "requests always lost",
        Fault(FaultKind.REQUEST_LOST, SWAP),
        "key_value_unavailable",
        False,
    ),
    ("doubled", Fault(FaultKind.DOUBLED, SWAP, delay_s=0.5), "done", True),
    ("service down", Fault(FaultKind.DOWN), "key_value_unavailable", False),
    ("reads down", Fault(FaultKind.DOWN, "get"), "key_value_unavailable", False),
    ("late", Fault(FaultKind.LATE, SWAP, 3, delay_s=1.5), "done", True),
]


class StoreTests(TestCase):
    @parameterized.expand(CASES)
    def test_fault(
        self, _name: str, fault: Fault, expected: str, is_applied: bool
    ) -> None:
        async def scenario() -> None:
            service = Service()
            await service.apply(service.connect(), 0, 1)
            got = await outcome_of(service.apply(service.connect(fault), 1, 2))
            stored = await store.read_head(service.connect(), "trial")
            self.assertEqual(expected, got)
            self.assertEqual(2 if is_applied else 1, stored.version)

        run_virtual(scenario())

    def test_error_after_a_lost_response_stays_uncertain(self) -> None:
        async def scenario() -> None:
            service = Service()
            down = service.connect(Fault(FaultKind.DOWN))
            current = service.connect()

            async def swap_then_fail(
                key: str, revision: int, value: bytes | None, lease: str
            ) -> SwapResult:
                nonlocal current
                if key == store.head_key("trial"):
                    current = down
                    lost = service.connect(Fault(FaultKind.ANSWER_LOST))
                    return await lost.compare_and_swap(key, revision, value, lease)
                return await current.compare_and_swap(key, revision, value, lease)

            flaky = current._replace(
                get=lambda key: current.get(key), compare_and_swap=swap_then_fail
            )
            code = await outcome_of(service.apply(flaky, 0, 1))
            self.assertEqual(messages.KEY_VALUE_UNCERTAIN.code, code)

        run_virtual(scenario())

    def test_one_racing_operator_wins_and_the_others_get_a_conflict(self) -> None:
        async def scenario() -> None:
            service = Service()
            applying = [
                service.apply(service.connect(), 0, i, author=f"o{i}") for i in range(5)
            ]
            results = await asyncio.gather(*applying, return_exceptions=True)
            winners = [r for r in results if isinstance(r, Head)]
            losers = [str(r) for r in results if isinstance(r, JaytrayError)]
            self.assertEqual((1, 4), (len(winners), len(losers)))
            named = f"trial is at version 1 by {winners[0].author}"
            self.assertTrue(all(named in loser for loser in losers))

        run_virtual(scenario())

    def test_one_change_writes_one_part_and_the_manifest(self) -> None:
        async def scenario() -> None:
            service = Service()
            await service.apply(service.connect(), 0, 1)
            before = len(service.store.get_prefix(PARTS_PREFIX))
            await service.apply(service.connect(), 1, 2)
            after = len(service.store.get_prefix(PARTS_PREFIX))
            self.assertEqual(before + 2, after)

        run_virtual(scenario())

    def test_history_is_bounded_and_complete(self) -> None:
        async def scenario() -> None:
            service = Service()
            key_value = service.connect()
            for based_on in range(store.HISTORY_VERSIONS + 20):
                await service.apply(key_value, based_on, based_on)
            versions = [h.version for h in await store.read_history(key_value, "trial")]
            latest = store.HISTORY_VERSIONS + 20
            self.assertEqual(list(range(latest, 20, -1)), versions[: latest - 20])
            self.assertTrue(len(versions) <= store.HISTORY_VERSIONS + 1)

        run_virtual(scenario())

    def test_collection_keeps_every_part_that_history_names(self) -> None:
        async def scenario() -> None:
            service = Service()
            key_value = service.connect()
            for based_on in range(4):
                await service.apply(key_value, based_on, based_on)
            await service.apply(key_value, 4, 0)
            refused = await outcome_of(service.apply(key_value, 3, 99))
            self.assertEqual(document_messages.VERSION_CONFLICT.code, refused)
            body = make_body([Section("model orphan", {})])
            for digest, data in body.parts_by_digest.items():
                await key_value.compare_and_swap(
                    PARTS_PREFIX + digest, 0, b"0\n" + data, ""
                )
            self.assertEqual(
                0, await collect_unused_parts(key_value, clock=self._at(10))
            )
            late = self._at(2 * UNUSED_PART_GRACE_S)
            unused_count = len(body.parts_by_digest)
            self.assertEqual(
                unused_count, await collect_unused_parts(key_value, clock=late)
            )
            for head in await store.read_history(key_value, "trial"):
                await store.read_sections(key_value, head)

        run_virtual(scenario())

    def _at(self, time_s: float) -> Callable[[], float]:
        return lambda: time_s

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(FAULT_KINDS), st.integers(0, 3), st.integers(0, 4)
            ),
            min_size=2,
            max_size=5,
        )
    )
    def test_versions_are_linear_under_random_faults(
        self, operators: list[tuple[FaultKind, int, int]]
    ) -> None:
        """Whoever was told `done` is in the history, and nobody who lost is."""
        self.assertEqual([], run_virtual(find_violations(operators, store.apply)))

    def test_property_fails_if_lost_responses_are_not_resolved(self) -> None:
        """`find_violations` detects an apply that always assumes a successful swap."""

        async def apply_assuming_success(
            key_value: KeyValueService, change: store.Change, body: list[Section]
        ) -> Head:
            async def swap_ignoring_result(
                key: str, rev: int, value: bytes | None, lease: str
            ) -> SwapResult:
                result = await key_value.compare_and_swap(key, rev, value, lease)
                is_head = key == store.head_key(change.environment)
                return SwapResult(True, 1) if is_head else result

            return await store.apply(
                key_value._replace(compare_and_swap=swap_ignoring_result), change, body
            )

        race = [(FaultKind.DOUBLED, 0, 0)] * 3
        self.assertNotEqual(
            [], run_virtual(find_violations(race, apply_assuming_success))
        )


async def find_violations(
    operators: list[tuple[FaultKind, int, int]],
    apply: Callable[..., Awaitable[Head]],
) -> list[str]:
    """Change one version concurrently; compare the outcomes with the history."""
    service = Service()
    await service.apply(service.connect(), 0, 0)

    async def operate(
        number: int, kind: FaultKind, times: int, delay: int
    ) -> tuple[str, str]:
        await asyncio.sleep(delay / 10)
        fault = Fault(kind, SWAP, times, delay_s=0.3 * (1 + delay))
        key_value = service.connect(*([fault] if times else []))
        change = store.Change("trial", 1, f"o{number}", "")
        return change.author, await outcome_of(
            apply(key_value, change, sections(number + 1))
        )

    outcomes = await asyncio.gather(*(operate(i, *o) for i, o in enumerate(operators)))
    await asyncio.sleep(60)
    heads = await store.read_history(service.connect(), "trial")
    in_force = {head.author for head in heads}
    violations = [
        f"{a} done, not kept" for a, o in outcomes if o == "done" and a not in in_force
    ]
    lost = (
        document_messages.VERSION_CONFLICT.code,
        messages.KEY_VALUE_UNAVAILABLE.code,
    )
    violations += [
        f"{a} {o}, yet kept" for a, o in outcomes if o in lost and a in in_force
    ]
    if [h.version for h in heads] != list(range(len(heads), 0, -1)):
        violations.append("versions are not linear")
    return violations
