"""All messages shown to callers and operators, each with a stable code.

A template has the code, the HTTP status of the refusal, the text with named fields,
and the remedy, which is printed in docs/ERRORS.md. The meaning of a code never changes.
Add a template to the section of its subsystem; `by_code` collects all of them.
"""

from jaytray_core import document_messages
from jaytray_core.message_template import MessageTemplate as MessageTemplate

# Decoding and input of callers.
MALFORMED_MESSAGE = MessageTemplate(
    "malformed_message",
    400,
    "the message cannot be decoded: {detail}",
    "Send a message of the documented shape.",
)
INVALID_REQUEST = MessageTemplate(
    "invalid_request",
    400,
    "{detail}",
    "Correct the named field and send the request again.",
)
REQUEST_TOO_LARGE = MessageTemplate(
    "request_too_large",
    413,
    "the request body exceeds {limit} bytes",
    "Send a shorter prompt, or raise max_body_bytes in the settings.",
)
NOT_FOUND = MessageTemplate(
    "not_found",
    404,
    "there is no {what} named {name}",
    "Check the name against GET /v1/models and the document's routes.",
)
INTERNAL_ERROR = MessageTemplate(
    "internal_error",
    500,
    "an internal error occurred",
    "Report the request id with the log lines that carry it.",
)

# Keys and routes.
KEY_MISSING = MessageTemplate(
    "key_missing",
    401,
    "this route needs a key in the Authorization header",
    "Send 'Authorization: Bearer KEY'.",
)
KEY_UNKNOWN = MessageTemplate(
    "key_unknown",
    401,
    "the key is not valid",
    "Ask the operator for a key; a withdrawn key stays invalid.",
)
KEY_WITHDRAWN = MessageTemplate(
    "key_withdrawn",
    401,
    "the key was withdrawn while the request was running",
    "Ask the operator for a new key.",
)
OPERATOR_TOKEN_INVALID = MessageTemplate(
    "operator_token_invalid",
    403,
    "this endpoint needs the operator token",
    "Send 'Authorization: Bearer TOKEN'; the settings hold the token's digest.",
)
ROUTE_UNKNOWN = MessageTemplate(
    "route_unknown",
    404,
    "no route accepts {method} {path}",
    "Declare the route in the document.",
)
MODEL_UNKNOWN = MessageTemplate(
    "model_unknown",
    404,
    "the document declares no model or adapter named {name}",
    "Use a name listed by GET /v1/models.",
)

# Admission and queues.
RATE_EXCEEDED = MessageTemplate(
    "rate_exceeded",
    429,
    "client account {account} has used up its rate and burst",
    "Wait for Retry-After, or ask for a higher rate.",
)
REQUEST_ABOVE_BURST = MessageTemplate(
    "request_above_burst",
    413,
    "the request needs {tokens} tokens, more than the burst of client account "
    "{account}",
    "Lower max_tokens, shorten the prompt, or raise the account's burst.",
)
QUEUE_FULL = MessageTemplate(
    "queue_full",
    503,
    "the queue for {name} is full",
    "Send the request again after Retry-After.",
)
MEMORY_FULL = MessageTemplate(
    "memory_full",
    503,
    "this VM holds too much of other requests",
    "Send the request again after Retry-After, without pauses.",
)
SERVICE_CUT_OFF = MessageTemplate(
    "service_cut_off",
    503,
    "this VM does not reach the targets of {name}",
    "Send the request again after Retry-After.",
)
TARGET_LIMITED = MessageTemplate(
    "target_limited",
    503,
    "the targets of {name} limit their rate of requests",
    "Send the request again after Retry-After.",
)
DEADLINE_UNREACHABLE = MessageTemplate(
    "deadline_unreachable",
    503,
    "the request cannot start before its deadline",
    "Send the request again after Retry-After, or raise the deadline.",
)
SHUTTING_DOWN = MessageTemplate(
    "shutting_down",
    503,
    "this VM is shutting down",
    "Send the request again; the balancer chooses another VM.",
)
STOPPED_BEFORE_RESPONSE = MessageTemplate(
    "stopped_before_response",
    502,
    "this VM stopped before the target had answered",
    "The request may have run. Send it again only if it may run twice.",
)
VM_ISOLATED = MessageTemplate(
    "vm_isolated",
    503,
    "this VM is cut off from the key-value service and from most other VMs",
    "Send the request again; the balancer chooses another VM.",
)
NOT_READY = MessageTemplate(
    "not_ready",
    503,
    "this VM has no document yet",
    "Send the request again; check that a document was applied.",
)

# Dispatch to targets.
NO_REPLICA = MessageTemplate(
    "no_replica",
    503,
    "no ready replica serves {name}",
    "Send the request again after Retry-After; see 'jaytray status'.",
)
STREAM_ORIGIN_UNKNOWN = MessageTemplate(
    "stream_origin_unknown",
    503,
    "targets of {name} have several software versions, and it is not known which one "
    "began this stream",
    "Begin the stream anew, or continue it after Retry-After at another VM.",
)
SOFTWARE_VERSION_GONE = MessageTemplate(
    "software_version_gone",
    503,
    "no ready target of {name} has software version {version}, which began this stream",
    "Begin the stream anew, or continue it after Retry-After.",
)
TARGET_UNREACHABLE = MessageTemplate(
    "target_unreachable",
    502,
    "the target cannot be reached: {detail}",
    "Send the request again; check the target and the network.",
)
TARGET_TIMEOUT = MessageTemplate(
    "target_timeout",
    504,
    "the target did not answer within {timeout_s} s",
    "Send the request again if it may be repeated.",
)
TARGET_FAILED = MessageTemplate(
    "target_failed",
    502,
    "the target answered with an error: {detail}",
    "Check the target's log.",
)
TARGET_REFUSED = MessageTemplate(
    "target_refused",
    503,
    "the target refused the request before running it: {detail}",
    "Send the request again after Retry-After.",
)
ANSWER_MISMATCH = MessageTemplate(
    "answer_mismatch",
    502,
    "the target's answer belongs to another request",
    "Report the request id; the connection was closed.",
)
ANSWER_INCOMPLETE = MessageTemplate(
    "answer_incomplete",
    502,
    "the target's answer ended early: {detail}",
    "Send the request again if it may be repeated.",
)

# Requests: input limits.
HEADERS_TOO_LARGE = MessageTemplate(
    "headers_too_large",
    431,
    "the {part} exceeds {limit} bytes",
    "Send fewer or shorter headers, or a shorter URL.",
)
BODY_TIMEOUT = MessageTemplate(
    "body_timeout",
    408,
    "the request body did not arrive within {timeout_s} s",
    "Send the whole body without pauses.",
)

# Idempotent calls.
IDEMPOTENCY_UNAVAILABLE = MessageTemplate(
    "idempotency_unavailable",
    503,
    "the call was not sent, as its Idempotency-Key could not be recorded: {detail}",
    "Send the call again with the same key after Retry-After.",
)
IDEMPOTENCY_RUNNING = MessageTemplate(
    "idempotency_running",
    409,
    "a call with this Idempotency-Key is still running",
    "Send the call again with the same key after Retry-After.",
)
IDEMPOTENCY_UNKNOWN = MessageTemplate(
    "idempotency_unknown",
    409,
    "the outcome of the call with this Idempotency-Key is unknown; it may have run",
    "Check at the service whether the call took effect, then use a new key.",
)
IDEMPOTENCY_KEY_REUSED = MessageTemplate(
    "idempotency_key_reused",
    422,
    "this Idempotency-Key was used for another request",
    "Use a new key for each distinct request.",
)
IDEMPOTENCY_ANSWER_NOT_KEPT = MessageTemplate(
    "idempotency_answer_not_kept",
    409,
    "the call with this Idempotency-Key has run; its answer was too long to store",
    "Read the result from the service.",
)
IDEMPOTENCY_UNREADABLE = MessageTemplate(
    "idempotency_unreadable",
    503,
    "the call with this Idempotency-Key has run; its answer cannot be read now",
    "Send the call again with the same key after Retry-After.",
)

# Requests that crash targets.
REQUEST_QUARANTINED = MessageTemplate(
    "request_quarantined",
    422,
    "this request was running at each of {crashes} targets when they crashed",
    "Change the request; operators see 'jaytray quarantine list' and may lift it.",
)
REQUEST_SUSPECTED = MessageTemplate(
    "request_suspected",
    503,
    "a target crashed while this request was running; its runs are restricted for now",
    "Send the request again after Retry-After.",
)

# Deferred requests.
DEFERRED_UNAVAILABLE = MessageTemplate(
    "deferred_unavailable",
    503,
    "the deferred request could not be stored: {detail}",
    "Send the request again after Retry-After.",
)
DEFERRED_UNCERTAIN = MessageTemplate(
    "deferred_uncertain",
    503,
    "the deferred request {job_id} may have been stored",
    "Look it up at GET /v1/deferred/ID, or send it again with an Idempotency-Key.",
)
DEFERRED_NEEDS_KEY = MessageTemplate(
    "deferred_needs_key",
    422,
    "a call that may not be repeated is deferred only with an Idempotency-Key",
    "Send the request again with an Idempotency-Key header.",
)
DEFERRED_EXPIRED = MessageTemplate(
    "deferred_expired",
    504,
    "the deferred request got no answer in {hours} hours; last failure: {detail}",
    "Check the model or service, then submit the request again.",
)

# External systems.
KEY_VALUE_UNAVAILABLE = MessageTemplate(
    "key_value_unavailable",
    503,
    "the key-value service does not answer: {detail}",
    "Wait for the platform to recover; serving continues with the last version.",
)
KEY_VALUE_UNCERTAIN = MessageTemplate(
    "key_value_uncertain",
    503,
    "the answer of the key-value service was lost: {detail}",
    "Read the key again to learn whether the write took effect.",
)
KEY_VALUE_TOO_LARGE = MessageTemplate(
    "key_value_too_large",
    413,
    "the value of {key} exceeds {limit} bytes",
    "Split the value.",
)
WEIGHT_STORE_UNAVAILABLE = MessageTemplate(
    "weight_store_unavailable",
    503,
    "the weight store does not answer: {detail}",
    "Wait for the platform to recover.",
)
VM_LIST_UNAVAILABLE = MessageTemplate(
    "vm_list_unavailable",
    503,
    "the list of VMs cannot be read: {detail}",
    "Wait for the platform to recover; the last list stays in use.",
)
ORDER_REFUSED = MessageTemplate(
    "order_refused",
    409,
    "the target refused the order: {detail}",
    "Orders with an old fencing number are refused; a newer planner has taken over.",
)

# Settings.
SETTINGS_UNREADABLE = MessageTemplate(
    "settings_unreadable",
    400,
    "{file}: {detail}",
    "Check the file's path and syntax.",
)
SETTINGS_INVALID = MessageTemplate(
    "settings_invalid",
    400,
    "{file}: section [{section}] option {option}: {detail}",
    "Correct the option; docs/operations/settings.md lists all.",
)


def by_code() -> dict[str, MessageTemplate]:
    """Return all templates, including those of `document_messages`, by code."""
    values = [*globals().values(), *vars(document_messages).values()]
    templates = [value for value in values if isinstance(value, MessageTemplate)]
    return {template.code: template for template in templates}
