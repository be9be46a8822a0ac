"""Records that make calls with an Idempotency-Key safe to send again."""
