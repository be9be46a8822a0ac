"""Fault-injection cases of `make faults`: the faults, the callers and the checks."""
