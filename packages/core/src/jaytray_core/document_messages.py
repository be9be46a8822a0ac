"""Messages about documents and versions; `message_registry` lists them by code."""

from jaytray_core.message_template import MessageTemplate

DOCUMENT_SYNTAX = MessageTemplate(
    "document_syntax",
    400,
    "{detail}",
    "Write INI: sections in brackets and options as 'name = value'.",
)
SECTION_UNKNOWN = MessageTemplate(
    "section_unknown",
    400,
    "[{section}] is not a known kind of section",
    "Use a kind of section listed in docs/operations/document-schema.md.",
)
SECTION_NAME_INVALID = MessageTemplate(
    "section_name_invalid",
    400,
    "[{section}] needs one name of letters, digits and . _ : - ([drain]: no name)",
    "Write '[KIND NAME]'.",
)
OPTION_UNKNOWN = MessageTemplate(
    "option_unknown",
    400,
    "[{section}] has no option {option}",
    "Use an option listed in docs/operations/document-schema.md.",
)
OPTION_INVALID = MessageTemplate(
    "option_invalid",
    400,
    "[{section}] option {option} {detail}",
    "Give a value within the bounds of docs/operations/document-schema.md.",
)
NAME_DOUBLED = MessageTemplate(
    "name_doubled",
    400,
    "{name} is already declared on line {first}",
    "Remove or rename one of the two.",
)
REFERENCE_UNKNOWN = MessageTemplate(
    "reference_unknown",
    400,
    "[{section}] option {option} names {name}, which is not declared",
    "Declare it, or correct the name.",
)
REPLICA_BOUNDS_CROSSED = MessageTemplate(
    "replica_bounds_crossed",
    400,
    "[model {name}] min_replicas {minimum} exceeds max_replicas {maximum}",
    "Raise max_replicas or lower min_replicas.",
)
BURST_BELOW_RATE = MessageTemplate(
    "burst_below_rate",
    400,
    "[account {name}] burst_tokens {burst} is less than one second of its rate",
    "Raise burst_tokens to at least rate_tokens_per_s.",
)
MODEL_FITS_NOWHERE = MessageTemplate(
    "model_fits_nowhere",
    400,
    "[{section}] needs {memory} MiB; the largest accelerator has {largest} MiB",
    "Declare a target with larger accelerators, or a smaller model.",
)
REPLICAS_EXCEED_ACCELERATORS = MessageTemplate(
    "replicas_exceed_accelerators",
    400,
    "[model {name}] asks for {minimum} replicas; only {possible} accelerators "
    "are large enough",
    "Lower min_replicas or declare more targets.",
)
REPLICAS_DO_NOT_FIT = MessageTemplate(
    "replicas_do_not_fit",
    400,
    "all models at min_replicas need {needed} MiB; the accelerators have "
    "{available} MiB",
    "Lower min_replicas or declare more targets.",
)
DOCUMENT_INVALID = MessageTemplate(
    "document_invalid",
    400,
    "the document has {faults} faults; the first: {detail}",
    "Run 'jaytray check' and correct each fault.",
)
VERSION_CONFLICT = MessageTemplate(
    "version_conflict",
    409,
    "{environment} is at version {version} by {author}, not at version {based_on}",
    "Look at 'jaytray diff' and apply again, based on that version.",
)
VERSION_UNKNOWN = MessageTemplate(
    "version_unknown",
    404,
    "{environment} has no version {version} in its history",
    "Choose a version listed by 'jaytray history'.",
)
DOCUMENT_INCOMPLETE = MessageTemplate(
    "document_incomplete",
    503,
    "version {version} of {environment} cannot be read completely: {detail}",
    "Wait; the part is fetched again from the service and from other VMs.",
)
DOCUMENT_CONTRADICTORY = MessageTemplate(
    "document_contradictory",
    409,
    "this version already exists with another body; the current one stays in use",
    "Find out who wrote both; apply a new, higher version.",
)
KEY_REVIVED = MessageTemplate(
    "key_revived",
    409,
    "key {name} was withdrawn from {environment} and cannot become valid again",
    "Create a new key with 'jaytray key create'.",
)
KEY_DROPPED = MessageTemplate(
    "key_dropped",
    409,
    "key {name} is valid in {environment} but missing from the new body",
    "Withdraw it with 'jaytray key withdraw', or create it in trial as well.",
)
PROMOTION_REFUSED = MessageTemplate(
    "promotion_refused",
    409,
    "trial is not promoted: {detail}",
    "Wait until 'jaytray status' shows one trial version on all live VMs.",
)
