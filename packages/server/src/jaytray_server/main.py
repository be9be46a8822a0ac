"""Entry point of `jaytrayd`: reads the settings and runs the server."""

import asyncio
import sys
from pathlib import Path

from absl import app, flags

from jaytray_core.errors import JaytrayError
from jaytray_core.logs import configure_logs
from jaytray_server.options import load_options
from jaytray_server.process.runtime import run_server

EXIT_INVALID_SETTINGS = 2

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file (INI).")


def console_main() -> None:
    """Run the `jaytrayd` command."""
    flags.mark_flag_as_required("settings")
    app.run(main)


def main(_arguments: list[str]) -> None:
    """Check the settings, then serve; exit with code 2 if the settings are invalid."""
    try:
        options = load_options(Path(_SETTINGS.value or ""))
    except JaytrayError as err:
        print(err, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    configure_logs()
    asyncio.run(run_server(options))
