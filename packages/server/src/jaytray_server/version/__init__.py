"""Following and using the current version of the environment's document."""
