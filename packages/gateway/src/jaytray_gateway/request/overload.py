"""Decides whether a request may queue at the best target, and when it returns if not.

Answers bursts. A request that would miss its latency objective in the queue is rejected
at once, as it would make those behind it late as well. Times are in seconds.
"""

from jaytray_gateway.version.route_table import Route

# Retry-After is a multiple of the delay in the queue, by when a burst should be over.
RETRY_WAITS = 3.0
MIN_RETRY_S = 1.0
MAX_RETRY_S = 3.0


def may_queue(route: Route, *, queue_s: float, first_piece_s: float) -> bool:
    """Return whether a request may be sent to a target with a queue of `queue_s`.

    `first_piece_s` is its expected time to the first piece with the queue.
    """
    return not queue_s or first_piece_s <= route.objective_s


def retry_delay_s(queue_s: float) -> float:
    """Return when the first caller that is turned away from a queue may return."""
    return min(MAX_RETRY_S, max(MIN_RETRY_S, queue_s * RETRY_WAITS))
