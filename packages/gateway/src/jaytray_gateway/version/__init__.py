"""Version scope: one immutable version of the route table."""
