"""Suspects stored in the key-value service, from which restarted VMs load them."""

import asyncio

from jaytray_core import message_registry as messages
from jaytray_core.codec import decode_json, encode_json
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_core.logs import get_logger
from jaytray_server.process.quarantine.evidence import Suspect

SUSPECT_PREFIX = "quarantine/suspects/"
WRITE_TIMEOUT_S = 0.3
_MAX_ATTEMPTS = 3

_log = get_logger()


async def write_suspects(key_value: KeyValueService, suspects: list[Suspect]) -> None:
    """Store `suspects`; failures and those not stored in time are logged."""
    try:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await asyncio.gather(*(_write(key_value, s) for s in suspects))
    except (JaytrayError, TimeoutError) as err:
        _log.warning("quarantine_not_stored", error=str(err) or "timeout")


async def delete_suspect(key_value: KeyValueService, digest: str) -> None:
    """Delete the stored evidence about `digest`; raises `JaytrayError`."""
    key = SUSPECT_PREFIX + digest
    for _ in range(_MAX_ATTEMPTS):
        found = await key_value.get(key)
        if found is None:
            return
        result = await key_value.compare_and_swap(key, found.revision, None, "")
        if result.is_swapped:
            return


async def read_suspects(key_value: KeyValueService) -> list[Suspect]:
    """Return all stored suspects; raises `JaytrayError`."""
    found = await key_value.get_prefix(SUSPECT_PREFIX)
    return [decode_json(record.value, Suspect, peer="kv") for record in found]


async def _write(key_value: KeyValueService, suspect: Suspect) -> None:
    key = SUSPECT_PREFIX + suspect.digest
    revision = ABSENT_REVISION
    for _ in range(_MAX_ATTEMPTS):
        try:
            result = await key_value.compare_and_swap(
                key, revision, encode_json(suspect), ""
            )
        except JaytrayError as err:
            if err.code != messages.KEY_VALUE_UNCERTAIN.code:
                raise
            result = None
        if result is not None and result.is_swapped:
            return
        found = await key_value.get(key)
        revision = found.revision if found else ABSENT_REVISION
        if found is not None:
            suspect = _merged(suspect, decode_json(found.value, Suspect, peer="kv"))


def _merged(one: Suspect, other: Suspect) -> Suspect:
    crash_ids = tuple(sorted({*one.crash_ids, *other.crash_ids}))
    return Suspect(one.digest, crash_ids, max(one.until_s, other.until_s))
