"""Cases of `make faults`: what fails, and what callers are then told."""
