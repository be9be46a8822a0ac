"""Messages between a VM that commits an entry and the owner of its shard."""

from typing import NamedTuple

from jaytray_server.process.idempotency.records import Entry, Record

COMMIT_TOPIC = "idempotency.commit"
COMMITTED_TOPIC = "idempotency.committed"


class CommitMessage(NamedTuple):
    """Asks the owner to commit `entry`; the reply carries the same `number`."""

    number: int
    entry: Entry


class CommittedMessage(NamedTuple):
    """Reply to a `CommitMessage`.

    `record` is the state of the key after the commit, None when it has no record.
    """

    number: int
    is_committed: bool
    record: Record | None
