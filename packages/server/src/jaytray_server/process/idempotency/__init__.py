"""Records that make it safe to retry calls with an Idempotency-Key."""
