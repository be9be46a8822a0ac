"""Requests that crash targets: suspicion, runs alone, quarantine on all VMs."""
