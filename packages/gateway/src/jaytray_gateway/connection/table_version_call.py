"""Asks another member which version of the route table it has in force.

The call goes to the member's relay address, with the key in its record: a process that
has just started can make it before the other members know its own record.
"""

import asyncio
from typing import TypedDict

from jaytray_core.adapters.http_pool import HttpPool, HttpRequest
from jaytray_core.adapters.remote_call import fetch_response
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import JaytrayError
from jaytray_core.exchange_errors import ExchangeError
from jaytray_gateway.process.membership import Member
from jaytray_gateway.process.table_version_check import VersionReply
from jaytray_gateway.request.relay import RELAY_KEY_HEADER, TABLE_VERSION_PATH

MAX_REPLY_BYTES = 1_024
# The member runs with another key than the caller knows.
STATUS_OTHER_KEY = 401
_OK = 200


class _Reply(TypedDict):
    # 0 if the member has no route table.
    version: int


def encode_version(version: int) -> bytes:
    """Encode the reply of a member."""
    return encode_msgpack(_Reply(version=version))


async def ask_table_version(member: Member, timeout_s: float) -> VersionReply | None:
    """Return the member's reply, None without one in time."""
    pool = HttpPool(address=member.relay_address, connect_timeout_s=timeout_s)
    headers = [(RELAY_KEY_HEADER.decode(), member.relay_key)]
    path = TABLE_VERSION_PATH.decode()
    try:
        async with asyncio.timeout(timeout_s):
            response = await fetch_response(
                pool,
                HttpRequest("GET", path, headers, b"", timeout_s),
                limit_bytes=MAX_REPLY_BYTES,
            )
        if response.status == STATUS_OTHER_KEY:
            return VersionReply(None)
        # Earlier builds refuse the call with another status.
        if response.status != _OK:
            return None
        reply = decode_msgpack(response.body, _Reply, peer=member.vm_id)
        return VersionReply(reply["version"])
    except (TimeoutError, ExchangeError, JaytrayError):
        return None
    finally:
        await pool.close()
