"""Placement of models and adapters on targets, decided by one elected leader."""
