"""Tests of the selection of neighbours and of the isolation rule."""

from hypothesis import given, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.vm_list import VmEntry, VmState
from jaytray_server.process.isolation import is_isolated
from jaytray_server.process.membership import choose_neighbours


def fleet(size: int, failure_domains: int) -> list[VmEntry]:
    return [
        VmEntry(f"vm-{i}", "a", "b", f"zone-{i % failure_domains}", VmState.LIVE)
        for i in range(size)
    ]


def reached_from(start: str, links: dict[str, set[str]]) -> set[str]:
    reached, frontier = {start}, [start]
    while frontier:
        for other in links[frontier.pop()] - reached:
            reached.add(other)
            frontier.append(other)
    return reached


class NeighbourTests(TestCase):
    @given(st.integers(2, 400), st.integers(1, 7))
    def test_links_connect_the_fleet_with_bounded_degree(
        self, size: int, failure_domains: int
    ) -> None:
        vms = fleet(size, failure_domains)
        links: dict[str, set[str]] = {vm.vm_id: set() for vm in vms}
        for vm in vms:
            chosen = choose_neighbours(vm.vm_id, vms)
            self.assertLessEqual(len(chosen), 9)
            for other in chosen:
                links[vm.vm_id].add(other)
                links[other].add(vm.vm_id)
        self.assertEqual(set(links), reached_from("vm-0", links))

    def test_neighbours_span_failure_domains(self) -> None:
        vms = fleet(370, 7)
        domain_by_id = {vm.vm_id: vm.failure_domain for vm in vms}
        for vm in vms:
            domains = {domain_by_id[o] for o in choose_neighbours(vm.vm_id, vms)}
            self.assertGreaterEqual(len(domains), 2)


class IsolationTests(TestCase):
    @parameterized.expand(
        [
            ("in contact", 1.0, 7, 0, False),
            ("service down for all", 600.0, 7, 7, False),
            ("service down, some VMs lost", 600.0, 7, 4, False),
            ("cut off with a minority", 600.0, 7, 3, True),
            ("cut off alone", 600.0, 7, 0, True),
            ("only VM of the site", 600.0, 0, 0, False),
        ]
    )
    def test_isolation_rule(
        self, _name: str, age_s: float, chosen: int, heard: int, expected: bool
    ) -> None:
        found = is_isolated(contact_age_s=age_s, chosen=chosen, heard=heard)
        self.assertEqual(expected, found)
