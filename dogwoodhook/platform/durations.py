"""Durations as the platform writes them: a number and its unit."""

import re

_DURATION = re.compile(r"(-?\d+(?:\.\d+)?)(ms|s)", re.ASCII)


def parse_duration_s(text: object) -> float:
    """Return a duration in seconds.

    >>> parse_duration_s("1500ms"), parse_duration_s("2.5s")
    (1.5, 2.5)
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"received {text!r}; allowed is a number with ms or s")
    number = float(match.group(1))
    return number / 1000 if match.group(2) == "ms" else number
