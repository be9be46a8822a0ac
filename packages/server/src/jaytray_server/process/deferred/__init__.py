"""Deferred requests: accepted now, run later, answers fetched by job id."""
