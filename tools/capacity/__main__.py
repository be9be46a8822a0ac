"""`make capacity`: measures costs and writes the tables of docs/CAPACITY.md."""

import asyncio
import logging

import structlog

from jaytray_core.codec import encode_msgpack
from jaytray_server.version.peer_messages import Announcement
from tools.capacity.control import control_slopes, heartbeat_frame, memory_slopes
from tools.capacity.page import (
    PAGE,
    idle_table,
    replace_block,
    request_table,
    roles_table,
    slopes_table,
)
from tools.capacity.processes import (
    measure_http_call,
    measure_idle,
    measure_request_path,
)
from tools.capacity.roles import control_roles

# (VMs, targets) of the sites that are measured while idle.
IDLE_SITES = ((2, 2), (4, 2), (8, 2), (4, 8), (4, 16))


def main() -> None:
    """Measure all costs and rewrite the generated blocks of the page."""
    for name in ("httpx", "httpcore"):
        logging.getLogger(name).setLevel(logging.WARNING)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    slopes = [*control_slopes(), *memory_slopes()]
    slopes_by_name = {slope.name: slope for slope in slopes}
    idle = [
        asyncio.run(measure_idle(vms=vms, targets=targets))
        for vms, targets in IDLE_SITES
    ]
    http_call_us = asyncio.run(measure_http_call())
    streamed, whole = asyncio.run(measure_request_path())
    roles = control_roles(
        slopes_by_name,
        heartbeat_bytes=len(heartbeat_frame("vm-100", 100_000)),
        announcement_bytes=len(encode_msgpack(_announcement())),
        http_call_us=http_call_us,
    )
    blocks = {
        "slopes": slopes_table([*slopes, streamed, whole]),
        "idle": idle_table(idle),
        "roles": roles_table(roles),
        "requests": request_table(streamed, whole, http_call_us),
    }
    text = PAGE.read_text(encoding="utf-8")
    for name, block in blocks.items():
        text = replace_block(text, name, block)
        print(f"{name}\n{block}")
    PAGE.write_text(text, encoding="utf-8")


def _announcement() -> Announcement:
    return Announcement("production", 100_000, "0" * 32)


if __name__ == "__main__":
    main()
