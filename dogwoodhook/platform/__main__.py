"""Runs a daemon on the users' platform."""

import asyncio
import os
import sys
from pathlib import Path

from dogwoodhook.events import make_bounded_handler
from dogwoodhook.findings import FindingsError
from dogwoodhook.gateway import PlatformAdapter, serve
from dogwoodhook.platform.headers import PLATFORM_DIALECT
from dogwoodhook.platform.rows import PlatformRows
from dogwoodhook.platform.settings_file import SETTINGS_VARIABLE, parse_settings
from dogwoodhook.platform.store_client import HttpStore

EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Read the settings file and serve."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    try:
        settings = parse_settings(path.read_text(), place=str(path))
    except FindingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    platform = PlatformAdapter(
        settings=settings,
        store=HttpStore(settings.store_address),
        decoder=PlatformRows(),
        dialect=PLATFORM_DIALECT,
    )
    handler = make_bounded_handler("info")
    try:
        with handler.applicationbound():
            asyncio.run(serve(platform))
    finally:
        handler.close()


if __name__ == "__main__":
    main()
