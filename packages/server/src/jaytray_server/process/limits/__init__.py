"""Rate and burst limits of client accounts, and fair queueing for target slots."""
