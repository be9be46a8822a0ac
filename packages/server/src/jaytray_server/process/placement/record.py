"""The record of a target's orders in the key-value service.

Every order is written to its target's record before it is sent, and the revision of
that write is its fencing number. A later lease holder finds in the record all orders
that may still take effect.
"""

from typing import NamedTuple

from jaytray_core.codec import decode_json, encode_json
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueRecord
from jaytray_core.targets import LoadReport, Order

KEY_PREFIX = "placement/targets/"
MAX_PAST_BOOTS = 8
# Stored as the fencing number of the newest order; stands for the record's revision,
# which is known only after the write.
_THIS_REVISION = 0


class TargetRecord(NamedTuple):
    """The value of a target's record.

    `boot_id` and `report_taken_at_s` identify the load report that the last removal
    of orders was based on; older reports must not be used with this record. In the
    stored form the fencing number of the last order is 0 and stands for the record's
    own revision.
    """

    boot_id: str
    past_boot_ids: list[str]
    report_taken_at_s: float
    orders: list[Order]


EMPTY_RECORD = TargetRecord("", [], float("-inf"), [])


class StoredRecord(NamedTuple):
    """A target's record and its revision, which is 0 when it does not exist yet."""

    value: TargetRecord
    revision: int


def record_key(target: str) -> str:
    """Return the key of a target's record."""
    return KEY_PREFIX + target


def decode_record(record: KeyValueRecord | None) -> StoredRecord:
    """Return the stored record with all fencing numbers filled in."""
    if record is None:
        return StoredRecord(EMPTY_RECORD, ABSENT_REVISION)
    value = decode_json(record.value, TargetRecord, peer="kv")
    return StoredRecord(fill_fencing_numbers(value, record.revision), record.revision)


def encode_record(record: TargetRecord) -> bytes:
    """Return the record as JSON, with 0 as the report time when there is none."""
    taken_at_s = max(record.report_taken_at_s, 0.0)
    return encode_json(record._replace(report_taken_at_s=taken_at_s))


def fill_fencing_numbers(record: TargetRecord, revision: int) -> TargetRecord:
    """Return the record with `revision` as the fencing number of its newest order."""
    orders = [
        order._replace(fencing_number=order.fencing_number or revision)
        for order in record.orders
    ]
    return record._replace(orders=orders)


def is_usable_report(record: TargetRecord, report: LoadReport) -> bool:
    """Return whether a report is not older than the one the record is based on."""
    if report.boot_id == record.boot_id:
        return report.taken_at_s >= record.report_taken_at_s
    return report.boot_id not in record.past_boot_ids


def append_order(
    record: TargetRecord,
    report: LoadReport,
    order: Order,
    live_order_ids: frozenset[str],
) -> TargetRecord:
    """Return the record to write for a new order that is based on `report`.

    Orders outside `live_order_ids` can have no further effect and are removed.
    """
    past = record.past_boot_ids
    if record.boot_id and record.boot_id != report.boot_id:
        past = [*past, record.boot_id][-MAX_PAST_BOOTS:]
    kept = [old for old in record.orders if old.order_id in live_order_ids]
    written = order._replace(fencing_number=_THIS_REVISION)
    return TargetRecord(report.boot_id, past, report.taken_at_s, [*kept, written])
