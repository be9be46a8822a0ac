"""Generates the document of an embedded site from its stand-ins' addresses."""

from tools.site import StandIns

_COMMON_SECTIONS = """\
[account barns]
rate_tokens_per_s = 6000
burst_tokens = 12000

[account kiosk]
rate_tokens_per_s = 20
burst_tokens = 80

[key barns-1]
account = barns
digest = {barns_digest}

[key kiosk-1]
account = kiosk
digest = {kiosk_digest}

[model assistant]
version = 1
memory_mib = 10000
min_replicas = 2
max_replicas = 2
max_output_tokens = 512

[model notes]
version = 1
memory_mib = 9000
min_replicas = 1
max_replicas = 2
max_output_tokens = 512

[adapter notes-farrier]
model = notes
version = 1
memory_mib = 200

[service rounds]
addresses = {rounds_address}

[route bookings]
service = rounds
path_prefix = /
methods = GET, POST
"""

_TARGET_SECTION = """
[target {name}]
address = {address}
failure_domain = {failure_domain}
accelerators = 2
accelerator_memory_mib = 24000
checks_fencing = yes
max_running_requests = 16
environment = trial
"""


def make_document(stand_ins: StandIns, *, barns_digest: str, kiosk_digest: str) -> str:
    """Return the document as INI text.

    `barns_digest` and `kiosk_digest` are the digests of the two accounts' keys.
    """
    text = _COMMON_SECTIONS.format(
        barns_digest=barns_digest,
        kiosk_digest=kiosk_digest,
        rounds_address=stand_ins.services_by_name["rounds"],
    )
    for position, (name, address) in enumerate(stand_ins.targets_by_name.items()):
        failure_domain = f"zone-{'ab'[position % 2]}"
        text += _TARGET_SECTION.format(
            name=name, address=address, failure_domain=failure_domain
        )
    return text
