"""Decides whether this VM is cut off and must stop serving.

A VM that cannot reach the key-value service may have missed the withdrawal of a key.
While it hears, directly or through peers, of recent contact with the service, it
gets new versions from those peers. Without any such contact it goes on only while it
hears most of its neighbours: then the service is most likely down for all, and
nothing can have been accepted elsewhere. Otherwise it is isolated after a bound.
"""

import asyncio
from collections.abc import Callable

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger

# Longest time without contact, direct or relayed, before the neighbours decide.
CONTACT_LIMIT_S = 6.0
# Part of the neighbours that must be heard for a VM without contact to go on.
REQUIRED_NEIGHBOUR_PART = 0.5
CHECK_INTERVAL_S = 0.5


def is_isolated(*, contact_age_s: float, chosen: int, heard: int) -> bool:
    """Return whether a VM must refuse requests.

    `chosen` is the number of neighbours it keeps links to, `heard` how many of them
    it heard from recently. A VM that knows no other VM has nobody to ask and judges
    by the service alone: it goes on, since no other VM can be serving without it.
    """
    if contact_age_s <= CONTACT_LIMIT_S or chosen == 0:
        return False
    return heard < chosen * REQUIRED_NEIGHBOUR_PART


async def watch_isolation(
    *,
    clock: MonotonicClock,
    contact_s: Callable[[], float],
    chosen_count: Callable[[], int],
    heard_count: Callable[[], int],
    set_isolated: Callable[[bool], None],
) -> None:
    """Check periodically until cancelled; log and report each change."""
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
