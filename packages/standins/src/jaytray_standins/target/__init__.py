"""Target and plain service stand-ins."""
