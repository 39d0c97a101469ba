"""Runs the operators' command line as ``python -m dogwoodhook.cli``."""

from dogwoodhook.cli import main

main()
