"""Contracts that every implementation of an outside interface must keep."""
