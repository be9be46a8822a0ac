"""Log line and metrics of each finished request."""

from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_gateway.process.metrics import GatewayMetrics


class RequestLog:
    """Logs and counts the outcomes of requests."""

    def __init__(self, *, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def log_finished(
        self,
        *,
        request_id: str,
        route: str,
        account: str,
        version: int,
        replica: str,
        tokens: int,
        rate_state: str,
        target: str,
        relayed_by: str,
        relayed_for: str,
        software_version: str,
        original_request_id: str,
        last_event_id: str,
        sends: int,
        runs: int,
        status: int,
        is_whole: bool,
        error: JaytrayError | None,
        sent_s: float | None,
        copy_age_s: float | None,
        first_piece_s: float | None,
        limit_s: float | None,
        total_s: float,
    ) -> None:
        """Log and count a request's outcome; durations start at its arrival.

        `limit_s` is when the final response was due, None if it was not admitted.
        `copy_age_s` is the age of the directory's copy when the request was sent last.
        """
        outcome = _outcome(status, is_whole, error)
        # The member that a request came to counts it.
        if not relayed_for:
            self._metrics.count_request(outcome, total_s, first_piece_s)
        get_logger().info(
            "request_finished",
            request_id=request_id,
            outcome=outcome,
            status=status,
            route=route,
            account=account,
            version=version,
            replica=replica,
            tokens=tokens,
            rate_state=rate_state,
            target=target,
            relayed_by=relayed_by,
            relayed_for=relayed_for,
            software_version=software_version,
            original_request_id=original_request_id,
            last_event_id=last_event_id,
            sends=sends,
            runs=runs,
            sent_ms=_milliseconds(sent_s),
            copy_age_ms=_milliseconds(copy_age_s),
            first_piece_ms=_milliseconds(first_piece_s),
            limit_ms=_milliseconds(limit_s),
            total_ms=_milliseconds(total_s),
            error=str(error) if error is not None else "",
        )


def _outcome(status: int, is_whole: bool, error: JaytrayError | None) -> str:
    if error is not None:
        return error.code
    return "answered" if is_whole else "caller_left"


def _milliseconds(seconds: float | None) -> int | str:
    return "" if seconds is None else round(seconds * 1000)
