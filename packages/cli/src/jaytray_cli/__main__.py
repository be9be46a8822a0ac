"""Entry point of `python -m jaytray_cli`."""

from jaytray_cli.main import console_main

if __name__ == "__main__":
    console_main()
