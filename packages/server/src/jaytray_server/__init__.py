"""The server that runs on every VM: `jaytrayd`."""
