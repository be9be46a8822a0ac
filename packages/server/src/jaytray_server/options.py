"""Options of `jaytrayd`, read once from the settings file at startup.

`SPECS` is the only definition of the settings; docs/operations/settings.md is
generated from it.
"""

import re
from pathlib import Path
from typing import Any, NamedTuple

from jaytray_core.settings_reader import (
    SettingSpec,
    convert_address,
    convert_name,
    convert_optional_address,
    integer_between,
    number_between,
    read_settings,
)

CURVE_KEY_CHARACTERS = 40


class Options(NamedTuple):
    """The values of all settings."""

    vm_id: str
    failure_domain: str
    environment: str
    callers_address: str
    max_body_bytes: int
    peers_address: str
    curve_public_key: bytes
    curve_secret_key: bytes
    key_value_address: str
    key_value_timeout_s: float
    vm_list_address: str
    vm_list_poll_s: float
    weight_store_address: str
    statsd_address: str
    statsd_prefix: str
    balancer_delay_s: float
    operator_token_digest: str


def convert_digest(text: str) -> str:
    """Return a digest, `sha256:` and 64 hex digits, or an empty string."""
    stripped = text.strip()
    if stripped and not re.fullmatch(r"sha256:[0-9a-f]{64}", stripped):
        raise ValueError("a digest is 'sha256:' and 64 lower-case hex digits")
    return stripped


def convert_curve_key(text: str) -> bytes:
    """Return a CURVE key in Z85, which is 40 printable ASCII characters."""
    stripped = text.strip()
    if len(stripped) != CURVE_KEY_CHARACTERS or not stripped.isascii():
        raise ValueError("a CURVE key has 40 characters in Z85")
    return stripped.encode("ascii")


SPECS: tuple[SettingSpec, ...] = (
    SettingSpec("vm", "id", convert_name, None, "", "Unique id of this VM."),
    SettingSpec(
        "vm", "failure_domain", convert_name, None, "", "Failure domain of this VM."
    ),
    SettingSpec(
        "vm",
        "environment",
        convert_name,
        "production",
        "",
        "Environment whose document this VM serves.",
    ),
    SettingSpec(
        "callers",
        "address",
        convert_address,
        None,
        "IP:port",
        "Address for callers, the balancer and operators; port 0 picks a free one.",
    ),
    SettingSpec(
        "callers",
        "max_body_bytes",
        integer_between(1024, 64 * 1024 * 1024),
        "1048576",
        "bytes",
        "Largest request body accepted.",
    ),
    SettingSpec(
        "peers",
        "address",
        convert_address,
        None,
        "IP:port",
        "Address for other VMs; must be this VM's peer address in the list of VMs.",
    ),
    SettingSpec(
        "peers",
        "curve_public_key",
        convert_curve_key,
        None,
        "Z85",
        "Public half of the fleet's CURVE key pair.",
    ),
    SettingSpec(
        "peers",
        "curve_secret_key",
        convert_curve_key,
        None,
        "Z85",
        "Secret half of the fleet's CURVE key pair.",
    ),
    SettingSpec(
        "key_value",
        "address",
        convert_address,
        None,
        "IP:port",
        "The platform's key-value service.",
    ),
    SettingSpec(
        "key_value",
        "timeout_s",
        number_between(0.05, 60),
        "2",
        "seconds",
        "Timeout of a call to the key-value service.",
    ),
    SettingSpec(
        "vm_list",
        "address",
        convert_address,
        None,
        "IP:port",
        "The platform's list of VMs.",
    ),
    SettingSpec(
        "vm_list",
        "poll_s",
        number_between(0.1, 60),
        "2",
        "seconds",
        "Interval at which the list of VMs is read.",
    ),
    SettingSpec(
        "weight_store",
        "address",
        convert_address,
        None,
        "IP:port",
        "The platform's weight store.",
    ),
    SettingSpec(
        "metrics",
        "statsd_address",
        convert_optional_address,
        "",
        "IP:port",
        "Receiver of statsd metrics; empty for none.",
    ),
    SettingSpec(
        "metrics", "prefix", convert_name, "jaytray", "", "Prefix of metric names."
    ),
    SettingSpec(
        "operators",
        "token_digest",
        convert_digest,
        "",
        "sha256:HEX",
        "Digest of the operator token for /admin; empty disables /admin.",
    ),
    SettingSpec(
        "shutdown",
        "balancer_delay_s",
        number_between(0, 300),
        "5",
        "seconds",
        "How long a VM that is shutting down still accepts requests, so that the "
        "balancer can notice that it is not ready.",
    ),
)


def load_options(path: Path) -> Options:
    """Read and check the settings file; raises `JaytrayError` if it is invalid."""
    values: dict[tuple[str, str], Any] = read_settings(path, SPECS)
    return Options(
        vm_id=values["vm", "id"],
        failure_domain=values["vm", "failure_domain"],
        environment=values["vm", "environment"],
        callers_address=values["callers", "address"],
        max_body_bytes=values["callers", "max_body_bytes"],
        peers_address=values["peers", "address"],
        curve_public_key=values["peers", "curve_public_key"],
        curve_secret_key=values["peers", "curve_secret_key"],
        key_value_address=values["key_value", "address"],
        key_value_timeout_s=values["key_value", "timeout_s"],
        vm_list_address=values["vm_list", "address"],
        vm_list_poll_s=values["vm_list", "poll_s"],
        weight_store_address=values["weight_store", "address"],
        statsd_address=values["metrics", "statsd_address"],
        statsd_prefix=values["metrics", "prefix"],
        balancer_delay_s=values["shutdown", "balancer_delay_s"],
        operator_token_digest=values["operators", "token_digest"],
    )
