"""Command-line flags of the stand-ins."""

from absl import flags

ROLE = flags.DEFINE_enum(
    "role",
    None,
    ["key_value", "target", "service", "weight_store", "vm_list", "site"],
    "Stand-in to run; `site` runs stand-ins of all kinds in one process.",
    required=True,
)
PORT = flags.DEFINE_integer("port", 0, "TCP port; 0 chooses a free one.")
NAME = flags.DEFINE_string("name", "", "Name of the target or service.")
TARGETS = flags.DEFINE_integer(
    "targets", 2, "Number of targets of a site.", lower_bound=0
)
SERVICES = flags.DEFINE_list("services", ["rounds"], "Names of the services of a site.")
ACCELERATORS = flags.DEFINE_integer("accelerators", 2, "Accelerators per target.")
MEMORY_MIB = flags.DEFINE_integer("memory_mib", 80_000, "MiB per accelerator.")
CHECKS_FENCING = flags.DEFINE_boolean(
    "checks_fencing", True, "Whether targets refuse orders with an old fencing number."
)
MODEL_LOAD_S = flags.DEFINE_float("model_load_s", 0.5, "Seconds per model load.")
ADAPTER_LOAD_S = flags.DEFINE_float("adapter_load_s", 0.03, "Seconds per adapter load.")
FIRST_TOKEN_S = flags.DEFINE_float("first_token_s", 0.02, "Seconds per prefill.")
TOKEN_INTERVAL_S = flags.DEFINE_float(
    "token_interval_s", 0.005, "Seconds between tokens."
)
MAX_RUNNING = flags.DEFINE_integer("max_running", 32, "Concurrent requests per target.")
PRELOADED = flags.DEFINE_list(
    "preloaded", [], "Models that are ready on accelerator 0 from the start."
)
REPORT_LAG_S = flags.DEFINE_float("report_lag_s", 0.0, "Seconds that load reports lag.")
RESTART_S = flags.DEFINE_float(
    "restart_s", 2.0, "Seconds that a crashed target or service is down."
)
LOADS_PER_SECOND = flags.DEFINE_float(
    "loads_per_second", 2.0, "Loads per second of the weight store."
)
CONCURRENT_LOADS = flags.DEFINE_integer(
    "concurrent_loads", 4, "Concurrent loads of the weight store."
)
VM = flags.DEFINE_multi_string(
    "vm", [], "Listed VM: ID,PEER_ADDRESS,HTTP_ADDRESS,DOMAIN."
)
VM_LIST_LAG_S = flags.DEFINE_float(
    "vm_list_lag_s", 0.0, "Seconds that the list of VMs lags."
)
