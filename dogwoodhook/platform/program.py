"""Program that runs the daemon on the users' platform."""

import asyncio
import os
import sys
from pathlib import Path

from dogwoodhook.bounded_log import CLOSE_TIMEOUT_S
from dogwoodhook.events import make_bounded_handler
from dogwoodhook.findings import FindingsError
from dogwoodhook.gateway import serve
from dogwoodhook.platform.adapter import make_adapter
from dogwoodhook.platform.settings_file import SETTINGS_VARIABLE

EXIT_BAD_SETTINGS = 2


def run() -> None:
    """Read the settings file and run the daemon until it is stopped."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f"{SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        platform = make_adapter(Path(path))
    except (FindingsError, OSError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    handler = make_bounded_handler("info")
    close_timeout_s = CLOSE_TIMEOUT_S
    try:
        with handler.applicationbound():
            # Half of the time left is kept for the process to exit.
            close_timeout_s = min(close_timeout_s, asyncio.run(serve(platform)) / 2)
    finally:
        handler.close(timeout_s=close_timeout_s)
