"""Requests whose answers are fetched later."""
