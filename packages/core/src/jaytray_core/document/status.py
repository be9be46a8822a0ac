"""The status that a VM reports to operators about its document."""

from typing import NotRequired, TypedDict


class DocumentStatus(TypedDict):
    """The document part of a VM's response to `GET /admin/status`.

    `alarms` counts heads that were refused as contradictory or not applicable.
    `service_age_s` is the time since the key-value service last responded, -1 if never.
    """

    vm_id: str
    environment: str
    document_version: int
    body_digest: str
    rejected_version: int
    alarms: int
    service_age_s: float
    unreachable_models: NotRequired[list[str]]
