"""Weight store stand-in."""
