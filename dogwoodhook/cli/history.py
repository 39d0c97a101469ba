"""``history``: who changed what, field by field, and when."""

import datetime
from collections.abc import Sequence
from typing import get_args

from expression import Result

from dogwoodhook.cli.dependencies import Dependencies
from dogwoodhook.cli.results import (
    CommandResult,
    ExitStatus,
    findings_result,
    unavailable_result,
)
from dogwoodhook.cli.settings import HistorySettings
from dogwoodhook.coordination.history import HistoryEntry, read_history
from dogwoodhook.findings import Finding
from dogwoodhook.state.model import DocumentKey, DocumentKind


async def history(
    settings: HistorySettings, arguments: Sequence[str], dependencies: Dependencies
) -> CommandResult:
    """Return the latest changes, of one document or of all."""
    key: DocumentKey | None = None
    if arguments:
        kinds = {kind: kind for kind in get_args(DocumentKind)}
        if arguments[0] not in kinds or len(arguments) < 2:
            received = " ".join(arguments)
            message = f"received {received!r}, allowed: {' | '.join(kinds)} and a name"
            return findings_result([Finding("history", message)])
        key = DocumentKey(kinds[arguments[0]], arguments[1])
    url, timeout_s = settings.platform_url, settings.platform_timeout_s
    async with dependencies.open_platform(url, timeout_s) as platform:
        result = await read_history(platform, limit=settings.limit, key=key)
    match result:
        case Result(tag="ok", ok=entries):
            text = "\n".join(line for entry in entries for line in _entry_lines(entry))
            return CommandResult(ExitStatus.OK, text or "no changes", entries)
        case Result(error=error):
            return unavailable_result(error.detail)


def _entry_lines(entry: HistoryEntry) -> list[str]:
    moment = datetime.datetime.fromtimestamp(entry.changed_at_s, datetime.UTC)
    time_text = moment.isoformat(timespec="seconds")
    lines = [
        f"version {entry.version}  {time_text}  {entry.author}"
        f"  {entry.key.kind} {entry.key.name}"
    ]
    return lines + [f"  {change}" for change in entry.changes]
