"""Request scope: admission, target selection, forwarding and retries."""
