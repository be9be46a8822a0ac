"""Placement of models and adapters on targets, by one leader at a time."""
