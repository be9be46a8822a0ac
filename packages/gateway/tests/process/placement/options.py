"""Options of a gateway for tests of placement."""

from jaytray_gateway.process.options import GatewayOptions

OPTIONS = GatewayOptions(
    vm_id="vm",
    failure_domain="a",
    callers_address="127.0.0.1:1",
    probe_address="127.0.0.1:2",
    peers_address="127.0.0.1:3",
    relay_address="",
    metrics_address="",
    key_value_address="127.0.0.1:4",
    revocation_s=5.0,
    change_s=2.0,
    grace_s=8.0,
    repeat_ratio=0.2,
    repeat_extra=56.0,
    repeat_window_s=10.0,
    lease_s=3.0,
    load_window_s=5.0,
    load_window_factor=1.1,
)
