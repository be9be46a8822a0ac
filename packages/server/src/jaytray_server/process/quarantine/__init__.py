"""Detection and quarantine of requests that crash targets, shared by all VMs."""
