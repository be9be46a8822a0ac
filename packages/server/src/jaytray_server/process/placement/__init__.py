"""Placement of models and adapters on the accelerators of targets."""
