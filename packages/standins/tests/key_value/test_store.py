"""Tests of the key-value store against a reference model, on a virtual clock."""

import asyncio

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from testtools import TestCase

from jaytray_core.keyvalue import SwapResult
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_time import VirtualClock

_KEYS = st.sampled_from(["a", "a/1", "a/2", "b"])
_VALUES = st.one_of(st.none(), st.binary(min_size=1, max_size=3))
_SETTINGS = settings(max_examples=60, stateful_step_count=40, deadline=None)


class StoreMachine(RuleBasedStateMachine):
    """Every result of the store equals that of the model.

    The model keeps (value, revision, lease) by key and the end of each lease.
    """

    store_class = KeyValueStore

    def __init__(self) -> None:
        super().__init__()
        self.clock = VirtualClock()
        self.store = self.store_class(clock=self.clock, sleep=self.clock.sleep)
        self.revision = 0
        self.found_by_key: dict[str, tuple[bytes, int, str]] = {}
        self.changed_at_by_key: dict[str, int] = {}
        self.lease_end_by_id: dict[str, float] = {}
        self.lease_ids = [""]

    @rule(key=_KEYS, is_expected=st.booleans(), value=_VALUES, lease=st.integers(0, 5))
    def swap(
        self, key: str, is_expected: bool, value: bytes | None, lease: int
    ) -> None:
        lease_id = self.lease_ids[lease % len(self.lease_ids)]
        found_revision = self.found_by_key.get(key, (b"", 0, ""))[1]
        expected = found_revision if is_expected else found_revision + 1
        is_lease_good = lease_id == "" or lease_id in self.lease_end_by_id
        result = self.store.compare_and_swap(key, expected, value, lease_id)
        if not is_expected or not is_lease_good:
            assert result == SwapResult(False, found_revision)
            return
        if value is None and key not in self.found_by_key:
            assert result == SwapResult(True, 0)
            return
        self._change(key, value, lease_id)
        assert result == SwapResult(True, 0 if value is None else self.revision)

    @rule(ttl_s=st.sampled_from([1.0, 2.5]))
    def grant(self, ttl_s: float) -> None:
        lease_id = self.store.grant_lease(ttl_s)
        assert lease_id not in self.lease_ids
        self.lease_ids.append(lease_id)
        self.lease_end_by_id[lease_id] = self.clock() + ttl_s

    @rule(lease=st.integers(0, 5))
    def revoke(self, lease: int) -> None:
        lease_id = self.lease_ids[lease % len(self.lease_ids)]
        self.store.revoke_lease(lease_id)
        self._end(lease_id)

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0]))
    def pass_time(self, seconds: float) -> None:
        asyncio.run(self.clock.advance(seconds))
        ended = [i for i, end in self.lease_end_by_id.items() if end <= self.clock()]
        for lease_id in ended:
            self._end(lease_id)

    @rule(key=_KEYS)
    def read(self, key: str) -> None:
        record = self.store.get(key)
        found = self.found_by_key.get(key)
        assert (record and record[1:]) == (found and found[:2])

    @rule(prefix=st.sampled_from(["", "a/", "c"]), back=st.integers(0, 10))
    def watch(self, prefix: str, back: int) -> None:
        after = max(0, self.revision - back)
        batch = asyncio.run(self.store.watch(prefix, after, 0.0))
        expected = sorted(
            (revision, key, self.found_by_key.get(key, (b"", 0, ""))[0])
            for key, revision in self.changed_at_by_key.items()
            if key.startswith(prefix) and revision > after
        )
        assert [(r.revision, r.key, r.value) for r in batch.records] == expected
        assert batch.revision == self.revision

    @rule()
    def list_all(self) -> None:
        found = [(r.key, r.value, r.revision) for r in self.store.get_prefix("")]
        expected = [(k, v[0], v[1]) for k, v in sorted(self.found_by_key.items())]
        assert found == expected

    def _change(self, key: str, value: bytes | None, lease_id: str) -> None:
        self.revision += 1
        self.changed_at_by_key[key] = self.revision
        if value is None:
            del self.found_by_key[key]
        else:
            self.found_by_key[key] = (value, self.revision, lease_id)

    def _end(self, lease_id: str) -> None:
        if self.lease_end_by_id.pop(lease_id, None) is None:
            return
        keys = [k for k, found in self.found_by_key.items() if found[2] == lease_id]
        for key in sorted(keys):
            self._change(key, None, "")


class UncheckedSwapStore(KeyValueStore):
    """A faulty store that ignores the expected revision."""

    def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: str
    ) -> SwapResult:
        found = self.get(key)
        revision = found.revision if found else 0
        return super().compare_and_swap(key, revision, value, lease_id)


class BrokenStoreMachine(StoreMachine):
    store_class = UncheckedSwapStore


class StoreTests(TestCase):
    def test_store_agrees_with_the_model(self) -> None:
        run_state_machine_as_test(StoreMachine, settings=_SETTINGS)

    def test_store_without_comparison_is_caught(self) -> None:
        self.assertRaises(
            AssertionError,
            run_state_machine_as_test,
            BrokenStoreMachine,
            settings=_SETTINGS,
        )

    def test_calls_are_counted(self) -> None:
        clock = VirtualClock()
        store = KeyValueStore(clock=clock, sleep=clock.sleep)

        async def run() -> None:
            waiting = asyncio.ensure_future(store.watch("a", 0, 100.0))
            await clock.advance(50.0)
            store.compare_and_swap("b", 0, b"1", "")
            await clock.advance(1.0)
            store.get("a")
            store.compare_and_swap("a", 0, b"1", "")
            await waiting

        asyncio.run(run())
        expected = {"watch": 1, "compare_and_swap": 2, "get": 1}
        self.assertEqual(expected, dict(store.calls_by_function))
