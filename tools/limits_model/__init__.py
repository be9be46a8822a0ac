"""Simulation of several VMs that run the real limits code on a virtual clock.

Used by `tools.bench_limits` and by the tests of the limits.
"""
