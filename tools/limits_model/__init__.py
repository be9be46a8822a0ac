"""A few VMs with the real limits code on a virtual clock, for bench and tests."""
