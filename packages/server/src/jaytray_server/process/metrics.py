"""Metrics sent to statsd over UDP; a missing receiver is ignored."""

from statsd import StatsClient

from jaytray_server.ports import Metrics


def make_statsd_metrics(*, host: str, port: int, prefix: str) -> Metrics:
    """Return metrics that are sent to the statsd receiver at `host`:`port`."""
    client = StatsClient(host=host, port=port, prefix=prefix)
    return Metrics(
        increment=lambda name, amount: client.incr(name, amount),
        gauge=lambda name, value: client.gauge(name, value),
        timing=lambda name, milliseconds: client.timing(name, milliseconds),
    )


def make_null_metrics() -> Metrics:
    """Return metrics that are discarded."""
    return Metrics(
        increment=lambda _name, _amount: None,
        gauge=lambda _name, _value: None,
        timing=lambda _name, _milliseconds: None,
    )
