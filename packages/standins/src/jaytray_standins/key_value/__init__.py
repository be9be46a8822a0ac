"""Key-value service stand-in."""
