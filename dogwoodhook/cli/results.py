"""Results of commands: an exit status, a text, and the same content as data."""

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass, is_dataclass
from enum import IntEnum
from typing import Any

from pydantic import BaseModel, TypeAdapter

from dogwoodhook.findings import Finding


class ExitStatus(IntEnum):
    """Exit statuses of ``dogwoodhook``."""

    OK = 0
    REFUSED = 1
    FINDINGS = 2
    UNAVAILABLE = 3
    UNKNOWN = 4
    WAIT_TIMED_OUT = 5


@dataclass(frozen=True, slots=True)
class CommandResult:
    """A command's result; ``data`` is what ``--json`` prints."""

    status: ExitStatus
    text: str
    data: object

    def write(self, *, as_json: bool) -> None:
        """Print the result; the text of a failure goes to standard error."""
        if as_json:
            print(json.dumps(_to_jsonable(self.data), indent=2))
            return
        stream = sys.stdout if self.status is ExitStatus.OK else sys.stderr
        print(self.text, file=stream)


@dataclass(frozen=True, slots=True)
class Failure:
    """A command that failed, as data."""

    result: str
    detail: str


@dataclass(frozen=True, slots=True)
class FindingsReport:
    """Findings of a command, as data."""

    findings: tuple[Finding, ...]
    result: str = "findings"


def findings_result(findings: Sequence[Finding]) -> CommandResult:
    """Return the result of a command whose input was refused."""
    text = "\n".join(str(finding) for finding in findings)
    data = FindingsReport(tuple(findings))
    return CommandResult(ExitStatus.FINDINGS, text, data)


def unavailable_result(detail: str) -> CommandResult:
    """Return the result of a command that the platform did not answer."""
    text = f"the platform is unavailable: {detail}"
    return CommandResult(ExitStatus.UNAVAILABLE, text, Failure("unavailable", detail))


def refused_result(detail: str) -> CommandResult:
    """Return the result of a command that was refused, as for an unknown service."""
    return CommandResult(ExitStatus.REFUSED, detail, Failure("refused", detail))


def _to_jsonable(data: object) -> Any:
    if isinstance(data, list | tuple):
        return [_to_jsonable(each) for each in data]
    if isinstance(data, BaseModel):
        return data.model_dump(mode="json")
    if is_dataclass(data):
        return TypeAdapter(type(data)).dump_python(data, mode="json")
    return data
