"""Decides whether this VM is isolated and must stop serving.

A VM that cannot reach the key-value service may have missed the withdrawal of an API
key. As long as it or a peer that it hears from had recent contact with the service, it
receives new versions through its peers. Without such contact for `MAX_CONTACT_AGE_S`,
it continues only while it hears from at least the required fraction of its neighbours:
then the service is most likely down for all VMs, and no change can have been accepted
elsewhere. Otherwise it is isolated.
"""

import asyncio
from collections.abc import Callable

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger

# Maximum age in seconds of the last contact with the service, direct or relayed.
MAX_CONTACT_AGE_S = 6.0
# Fraction of the neighbours that a VM without contact must hear from to continue.
REQUIRED_NEIGHBOUR_FRACTION = 0.5
CHECK_INTERVAL_S = 0.5


def is_isolated(*, contact_age_s: float, chosen: int, heard: int) -> bool:
    """Return whether a VM must refuse requests.

    `chosen` is the number of neighbours to which it keeps links, `heard` the number of
    them that it heard from recently. A VM that knows no other VM is never isolated,
    because no other VM can be serving without it.
    """
    if contact_age_s <= MAX_CONTACT_AGE_S or chosen == 0:
        return False
    return heard < chosen * REQUIRED_NEIGHBOUR_FRACTION


async def watch_isolation(
    *,
    clock: MonotonicClock,
    contact_s: Callable[[], float],
    chosen_count: Callable[[], int],
    heard_count: Callable[[], int],
    set_isolated: Callable[[bool], None],
) -> None:
    """Check periodically until cancelled; report each result and log changes."""
    was_isolated = False
    started_s = clock()
    while True:
        age_s = clock() - max(contact_s(), started_s)
        now_isolated = is_isolated(
            contact_age_s=age_s, chosen=chosen_count(), heard=heard_count()
        )
        if now_isolated != was_isolated:
            get_logger().warning(
                "isolation_changed",
                is_isolated=now_isolated,
                contact_age_s=round(age_s, 1),
                neighbours_chosen=chosen_count(),
                neighbours_heard=heard_count(),
            )
            was_isolated = now_isolated
        set_isolated(now_isolated)
        await asyncio.sleep(CHECK_INTERVAL_S)
