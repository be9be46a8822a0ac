"""Contract tests that every implementation of an external interface must pass."""
