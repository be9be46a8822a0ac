"""Request handling: parsing, routing, dispatch to targets, responses to callers."""
