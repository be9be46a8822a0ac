"""How long callers wait, and what follows from it for waits and stalled streams.

Callers abandon a stream that has no event for the longest of these: a fixed time, a
multiple of the latency objective and a multiple of the route's longest pause. Times are
in seconds.
"""

from jaytray_gateway.version.route_table import RequestKind, Route

CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_PAUSES = 8.0
# Fraction of the time until the caller gives up that a wait may take.
WAIT_FRACTION = 0.85
# Fraction of that time without an event after which a stream may be resumed elsewhere.
STALL_FRACTION = 0.75


def longest_wait_s(route: Route) -> float:
    """Return how long a request may wait before its caller gives up on a response."""
    is_stream = route.kind is RequestKind.STREAM
    timeout_s = _event_timeout_s(route) if is_stream else route.timeout_s
    return timeout_s * WAIT_FRACTION


def stall_timeout_s(route: Route) -> float:
    """Return how long a stream that has begun may end no event."""
    return _event_timeout_s(route) * STALL_FRACTION


def _event_timeout_s(route: Route) -> float:
    """Return how long a caller waits for the next event of a stream."""
    return max(
        CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_OBJECTIVES * route.objective_s,
        CALLER_TIMEOUT_PAUSES * route.max_pause_s,
    )
