"""What lives for one connection to a peer, a target or an outside system."""
