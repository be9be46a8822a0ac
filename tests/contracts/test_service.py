"""Runs the plain service contract against the in-process and HTTP connections."""

from typing import Any

from parameterized import parameterized
from testtools import TestCase

from tests.contracts import implementations, service_contract
from tests.contracts.running import MakeBench, cross, fault_cases, run_case

_SERVICES = {
    "in_process": implementations.in_process_service_bench,
    "http": implementations.http_service_bench,
}


class ServiceContractTests(TestCase):
    @parameterized.expand(cross(_SERVICES, service_contract.CASES_BY_NAME))
    def test_case(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)

    @parameterized.expand(
        cross(_SERVICES, fault_cases(service_contract, lambda case: str(case.kind)))
    )
    def test_fault(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)
