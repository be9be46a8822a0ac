"""HTTP clients of the external systems; no other module knows the wire formats."""
