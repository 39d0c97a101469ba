"""Checks a configuration of the platform before it is sent.

``python -m dogwoodhook.platform.check NEW.json --in_force=OLD.json`` prints a line for
each problem and each change, and exits with 2 if a problem is an error. The files hold
configurations as the operator writes them into the store.
"""

import json
import os
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from absl import flags

from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.findings import Finding, FindingsError
from dogwoodhook.platform.rows import ConfigurationDecoder
from dogwoodhook.state.configuration_check import (
    ConfigurationProblem,
    Problem,
    check_configuration,
    differences,
)
from dogwoodhook.state.route_policy import RoutePolicy, RoutingConfiguration

EXIT_ERRORS = 2

USAGE = "usage: python -m dogwoodhook.platform.check NEW.json [--in_force=OLD.json]"


def check_files(new: Path, in_force: Path | None) -> list[ConfigurationProblem | str]:
    """Return the problems of a file, and its changes to the one in force."""
    try:
        configuration, routes = _read(new)
        lines: list[ConfigurationProblem | str] = [
            *check_configuration(configuration, routes)
        ]
        if in_force is not None:
            lines += differences(_read(in_force)[0], configuration)
    except FindingsError as error:
        return [ConfigurationProblem(Problem.ERROR, each) for each in error.findings]
    return lines


def _read(path: Path) -> tuple[RoutingConfiguration, Sequence[RoutePolicy]]:
    """Return a file's configuration and its routes, or raise ``FindingsError``."""
    try:
        text = path.read_bytes()
        json.loads(text, object_pairs_hook=_without_duplicates)
    except (OSError, ValueError, RecursionError) as error:
        raise FindingsError([Finding(str(path), str(error))]) from None
    decoder = ConfigurationDecoder()
    return decoder.decode(StoreRow(str(path), text, 1)), decoder.listed_routes


def _without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    counts = Counter(name for name, _ in pairs)
    doubled = [name for name, count in counts.items() if count > 1]
    if doubled:
        raise ValueError(f"given twice: {', '.join(doubled)}")
    return dict(pairs)


def main(arguments: Sequence[str]) -> int:
    """Print the result for the command's arguments; return the exit status."""
    values = flags.FlagValues()
    flags.DEFINE_string("in_force", None, "configuration in force", flag_values=values)
    try:
        files = values(["check", *arguments])[1:]
    except flags.Error as error:
        print(error, USAGE, sep="\n", file=sys.stderr)
        return EXIT_ERRORS
    if len(files) != 1:
        print(USAGE, file=sys.stderr)
        return EXIT_ERRORS
    in_force = Path(values["in_force"].value) if values["in_force"].value else None
    lines = check_files(Path(files[0]), in_force)
    for line in lines:
        print(line)
    is_refused = any(
        isinstance(line, ConfigurationProblem) and line.kind is Problem.ERROR
        for line in lines
    )
    return EXIT_ERRORS if is_refused else os.EX_OK


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
