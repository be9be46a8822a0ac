"""Runs the plain service contract against the in-process and HTTP connections."""

from typing import Any

from parameterized import parameterized
from testtools import TestCase

from tests.contracts import implementations, service_contract
from tests.contracts.running import (
    MakeBench,
    fault_checks_by_name,
    parameter_rows,
    run_case,
)

_SERVICES = {
    "in_process": implementations.in_process_service_bench,
    "http": implementations.http_service_bench,
}


class ServiceContractTests(TestCase):
    @parameterized.expand(parameter_rows(_SERVICES, service_contract.CASES_BY_NAME))
    def test_case(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)

    @parameterized.expand(
        parameter_rows(
            _SERVICES,
            fault_checks_by_name(service_contract, lambda case: str(case.kind)),
        )
    )
    def test_fault(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)
