"""VM list stand-in."""
