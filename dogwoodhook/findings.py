"""Findings: problems in an input, each with its place.

A checker collects every finding before it reports, so that an operator can
correct a file in one pass.
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem in an input.

    ``place`` is a flag (``--caller_port``), a file and line
    (``mukamana.toml:12``) or a key path (``service.targets.kigali-1.t1``).

    >>> print(Finding(place="--caller_port", message="received 0, allowed 1..65535"))
    --caller_port: received 0, allowed 1..65535
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class FindingsError(Exception):
    """An input was refused; ``findings`` holds every problem found."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)
