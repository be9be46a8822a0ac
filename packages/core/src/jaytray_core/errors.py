"""Exceptions with a stable code, and the step and the peer at which they occurred.

Every refusal that a caller or an operator sees is a `JaytrayError`. Its text comes
from `message_registry`, so that codes and texts are defined in one place.
"""

import enum

from jaytray_core.message_registry import MessageTemplate


class Execution(enum.StrEnum):
    """Whether a refused request may have had an effect at a target."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Step(enum.StrEnum):
    """The stage of processing at which an error occurred."""

    SETTINGS = "settings"
    DECODE = "decode"
    AUTHENTICATE = "authenticate"
    ROUTE = "route"
    ADMIT = "admit"
    QUEUE = "queue"
    DISPATCH = "dispatch"
    STREAM = "stream"
    IDEMPOTENCY = "idempotency"
    DEFERRED = "deferred"
    DOCUMENT = "document"
    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    PLACEMENT = "placement"
    KEY_VALUE = "key_value"
    WEIGHT_STORE = "weight_store"
    VM_LIST = "vm_list"
    TARGET = "target"


class JaytrayError(Exception):
    """A failure with a stable code.

    `execution` says whether the request may have run; `peer` is the remote end (a
    target, a VM, `kv`, or an empty string for this process); `retry_after_s` is the
    number of seconds after which a retry makes sense, if known.
    """

    def __init__(
        self,
        template: MessageTemplate,
        *,
        step: Step,
        peer: str = "",
        execution: Execution = Execution.NOT_RUN,
        retry_after_s: float | None = None,
        **details: object,
    ) -> None:
        self.template = template
        self.step = step
        self.peer = peer
        self.execution = execution
        self.retry_after_s = retry_after_s
        self.text = template.text.format(**details)
        super().__init__(self.text)

    @property
    def code(self) -> str:
        """Return the stable code, listed in docs/ERRORS.md."""
        return self.template.code

    @property
    def status(self) -> int:
        """Return the HTTP status of the refusal."""
        return self.template.status

    def __str__(self) -> str:
        peer = f" peer={self.peer}" if self.peer else ""
        return f"{self.code}: {self.text} (step={self.step}{peer})"
