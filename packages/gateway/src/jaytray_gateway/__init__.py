"""Gateway that forwards HTTP requests to targets according to the operator's routes."""
