"""Simulation of routing and placement for `make bench-policy`.

The decision functions are the server's own; targets, load and time are simulated.
"""
