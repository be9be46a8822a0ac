"""Runs `jaytrayd` as `python -m jaytray_server`."""

from jaytray_server.main import console_main

if __name__ == "__main__":
    console_main()
