"""Forwards callers' HTTP requests to discovered targets under the operator's routes."""
