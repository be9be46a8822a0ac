"""Connection scope: ASGI applications and connections to targets."""
