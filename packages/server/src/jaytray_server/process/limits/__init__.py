"""Rate and burst of client accounts, and fair queues for targets' slots."""
