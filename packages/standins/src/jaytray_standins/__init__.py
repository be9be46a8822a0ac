"""Stand-ins for the external systems, used by tests and tools."""
