"""Small fakes around the real decision functions, for `make bench-policy`."""
