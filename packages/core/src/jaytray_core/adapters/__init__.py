"""Clients of the outside systems over HTTP; only they know the wire formats."""
