"""Typed messages, errors, settings and the document shared by all packages."""
