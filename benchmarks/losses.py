"""Counts lost requests by cause, from the daemons' logs.

Run it with ``python -m benchmarks.losses FILE...``. The log lines may carry a prefix
that a test bench or a log collector added. Requests that ended without a target's
answer are counted by service, the standing of the last target and the kind of
failure. The counts show what to investigate next; there is no regression bound.
"""

import re
import shlex
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from dogwoodhook.events import (
    ATTEMPT_FAILED,
    CATALOGUE,
    REQUEST_REFUSED,
    REQUEST_UNANSWERED,
)

_LINE = re.compile(r" (?:DEBUG|INFO|NOTICE|WARNING|ERROR) (\d{3}) [a-z-]+ (.*)$")
_VARIABLE_PARTS = re.compile(
    r"[0-9a-f]{8,}|\[Errno \d+\] |version \d+|\d+\.\d+\.\d+\.\d+:\d+"
)

MAX_ROWS = 25
"""Causes printed for each kind of event; the others are added up in one row."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of a daemon's log."""

    number: int
    fields: dict[str, str]


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events among the lines; skip other lines.

    >>> [each] = parse_lines(['1.2 edge-1 2026 INFO 511 request-refused status=503'])
    >>> each.number, each.fields
    (511, {'status': '503'})
    """
    for line in lines:
        match = _LINE.search(line.rstrip())
        if match is None:
            continue
        try:
            words = shlex.split(match.group(2))
        except ValueError as error:
            print(f"skipped a line that cannot be split: {error}", file=sys.stderr)
            continue
        pairs = (word.partition("=") for word in words)
        yield LogLine(
            int(match.group(1)), {name: value for name, _, value in pairs if name}
        )


def count_causes(lines: Iterable[LogLine], number: int) -> Counter[str]:
    """Return the count of each cause among the events with a given number."""
    return Counter(_cause(line.fields) for line in lines if line.number == number)


def _cause(fields: dict[str, str]) -> str:
    detail = _VARIABLE_PARTS.sub("", fields.get("detail", ""))
    runs = "has run" if int(fields.get("runs", "0")) else "not run"
    return "; ".join(
        (
            fields.get("service", "no route"),
            f"last target {fields.get('standing', 'none')}",
            runs,
            f"status {fields.get('status', '-')}",
            detail[:70],
        )
    )


def main(names: list[str]) -> int:
    """Print the causes of the losses in the files; return the exit status."""
    if not names:
        print("no log file given; pass one or more log files of daemons")
        return 2
    lines = [
        line
        for name in names
        for line in parse_lines(Path(name).read_text(errors="replace").splitlines())
    ]
    for event in (REQUEST_UNANSWERED, REQUEST_REFUSED, ATTEMPT_FAILED):
        causes = count_causes(lines, event.number)
        print(f"{CATALOGUE[event.number].name}: {causes.total()}")
        for cause, count in causes.most_common(MAX_ROWS):
            print(f"  {count:6d}  {cause}")
        rest = causes.total() - sum(each for _, each in causes.most_common(MAX_ROWS))
        if rest:
            print(f"  {rest:6d}  (other causes)")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
