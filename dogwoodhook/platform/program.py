"""The daemon's program on the users' platform."""

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
    """Read the settings file and serve."""
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
    last_lines_s = CLOSE_TIMEOUT_S
    try:
        with handler.applicationbound():
            # The interpreter needs some of the time to end.
            last_lines_s = min(last_lines_s, asyncio.run(serve(platform)) / 2)
    finally:
        handler.close(timeout_s=last_lines_s)
