"""Deferred requests: accepted now, run later, responses fetched by job id."""
