"""The daemon's program on the users' platform."""

import asyncio
import os
import sys
from pathlib import Path

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
    try:
        with handler.applicationbound():
            asyncio.run(serve(platform))
    finally:
        handler.close()
