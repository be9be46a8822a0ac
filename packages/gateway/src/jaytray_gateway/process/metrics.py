"""Prometheus counters, gauges and histograms of the process."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
)

# Bucket bounds: the latency objectives of the deployment files are 0.1 to 2.5 s.
_LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)


class GatewayMetrics:
    """The process's metrics; every label has a bounded number of values."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "jaytray_requests",
            "Finished requests by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self._total_s = Histogram(
            "jaytray_request_seconds",
            "Time from arrival to the end of the response.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._first_piece_s = Histogram(
            "jaytray_first_piece_seconds",
            "Time from arrival to the first chunk of a stream.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.orders = Counter(
            "jaytray_orders",
            "Orders to targets by operation and outcome.",
            ["operation", "outcome"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "jaytray_store_calls",
            "Calls to the key-value service by purpose, function and outcome.",
            ["purpose", "function", "outcome"],
            registry=self.registry,
        )
        self._directory_updates = Counter(
            "jaytray_directory_updates",
            "Updates of the directory's local copy by source.",
            ["source"],
            registry=self.registry,
        )
        self._gauge_by_name = {
            name: Gauge(f"jaytray_{name}", text, registry=self.registry)
            for name, text in (
                ("route_table_version", "Version of the route table in force."),
                ("directory_age_seconds", "Age of the directory's local copy."),
                ("members", "Members that share the rate limits."),
                ("targets", "Targets in the directory."),
                ("targets_limited", "Targets that state a limit of their rate."),
                ("targets_brittle", "Targets that fall over when they reject."),
                ("targets_recovering", "Targets whose load is paced."),
                ("targets_cold", "Targets that are cold."),
                ("domains_evacuated", "Failure domains evacuated now or soon."),
                ("services_cut_off", "Services that this VM does not reach."),
                ("connections_opened", "Connections opened to targets."),
                ("caller_connections", "Open connections of callers."),
                ("caller_bytes", "Bytes held for callers' connections."),
                ("caller_connections_ended", "Connections closed to keep bounds."),
                ("process_paused_seconds", "Time for which the process did not run."),
                ("log_lines_dropped", "Log lines dropped because the queue was full."),
            )
        }

    def count_request(
        self, outcome: str, total_s: float, first_piece_s: float | None
    ) -> None:
        """Count a finished request."""
        self._requests.labels(outcome).inc()
        self._total_s.observe(total_s)
        if first_piece_s is not None:
            self._first_piece_s.observe(first_piece_s)

    def count_directory_update(self, source: str) -> None:
        """Count an update from a hub, or by a watch or read of the service."""
        self._directory_updates.labels(source).inc()

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge by its name without the `jaytray_` prefix."""
        self._gauge_by_name[name].set(value)
