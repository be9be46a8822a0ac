"""Request handling: parsing, routing, dispatch to targets, answers to callers."""
