"""Runs the key-value contract against the in-process and HTTP connections."""

from typing import Any

from parameterized import parameterized
from testtools import TestCase

from tests.contracts import implementations, key_value_contract
from tests.contracts.running import (
    MakeBench,
    fault_checks_by_name,
    parameter_rows,
    run_case,
)

_KEY_VALUE = {
    "in_process": implementations.in_process_key_value_bench,
    "http": implementations.http_key_value_bench,
}


class KeyValueContractTests(TestCase):
    @parameterized.expand(parameter_rows(_KEY_VALUE, key_value_contract.CASES_BY_NAME))
    def test_case(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)

    @parameterized.expand(
        parameter_rows(
            _KEY_VALUE, fault_checks_by_name(key_value_contract, lambda case: case.name)
        )
    )
    def test_fault(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)
