"""The operators' command line."""

import asyncio
import os
import sys

from dogwoodhook.cli.program import run


def main() -> None:
    """Run ``dogwoodhook`` and exit with its status."""
    sys.exit(asyncio.run(run(sys.argv[1:], os.environ)))
