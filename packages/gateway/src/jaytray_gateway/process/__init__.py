"""Subsystems that live as long as a gateway process."""
