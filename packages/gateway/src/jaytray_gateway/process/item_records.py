"""Which findings of members are recorded in the key-value service.

Requests and prompt parts in quarantine, and the software versions of a service while it
has several.
"""

from collections.abc import Callable

from jaytray_gateway.process.crash_guard import QUARANTINE_S, CrashGuard
from jaytray_gateway.process.leased_records import LeasedRecords, RecordKind
from jaytray_gateway.process.prompt_part_guard import (
    PART_QUARANTINE_S,
    PromptPartGuard,
)
from jaytray_gateway.process.software_versions import (
    VERSION_MEMORY_S,
    SoftwareVersions,
)

# Prefixes of the keys, relative to the platform adapter's own prefix.
QUARANTINE_PREFIX = "quarantine/"
SOFTWARE_PREFIX = "software/"

# (prefix, kinds of records by their names) -> the records of this member.
MakeRecords = Callable[[str, dict[str, RecordKind]], LeasedRecords]


def make_quarantine_records(
    part_guard: PromptPartGuard, crash_guard: CrashGuard, make_records: MakeRecords
) -> LeasedRecords:
    """Return the records of requests and prompt parts that crash targets."""
    kinds_by_name = {
        "part": RecordKind(
            lease_s=PART_QUARANTINE_S,
            items=part_guard.quarantined,
            add=part_guard.quarantine,
            end=part_guard.end_quarantine,
        ),
        "request": RecordKind(
            lease_s=QUARANTINE_S,
            items=crash_guard.quarantined,
            add=crash_guard.quarantine,
            end=crash_guard.end_quarantine,
        ),
    }
    return make_records(QUARANTINE_PREFIX, kinds_by_name)


def make_software_version_records(
    versions: SoftwareVersions, make_records: MakeRecords
) -> LeasedRecords:
    """Return the records of the software versions of services with several."""
    kind = RecordKind(
        lease_s=VERSION_MEMORY_S,
        items=versions.recordable,
        add=versions.add_recorded,
        end=versions.end_recorded,
    )
    return make_records(SOFTWARE_PREFIX, {"version": kind})
