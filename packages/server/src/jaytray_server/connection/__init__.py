"""Connections to callers, peers, targets and the platform's key-value service."""
