"""Placement: which accelerator holds which model and adapter."""
