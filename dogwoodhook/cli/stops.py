"""``stop``: schedules, cancels and lists planned stops."""

import datetime
from collections.abc import Sequence

from expression import Result

from dogwoodhook.cli.dependencies import Dependencies
from dogwoodhook.cli.edits import Edit, apply_edit
from dogwoodhook.cli.results import (
    CommandResult,
    ExitStatus,
    refused_result,
    unavailable_result,
)
from dogwoodhook.cli.settings import EditSettings, PlatformSettings, StopSettings
from dogwoodhook.coordination.loading import scan_configuration
from dogwoodhook.state.model import DocumentKey, PlannedStop


async def schedule(
    settings: StopSettings, arguments: Sequence[str], dependencies: Dependencies
) -> CommandResult:
    """Schedule a stop of a target; refused if it would break the capacity floor."""
    service, target = arguments
    stop = PlannedStop(
        name=settings.name or f"{target}-{settings.start:%Y%m%dT%H%M%S}",
        service=service,
        target=target,
        start_s=settings.start.timestamp(),
        end_s=settings.end.timestamp(),
        reason=settings.reason,
    )
    return await apply_edit(settings, Edit([stop]), dependencies)


async def cancel(
    settings: EditSettings, arguments: Sequence[str], dependencies: Dependencies
) -> CommandResult:
    """Cancel a stop; succeed also if it does not exist."""
    key = DocumentKey("stop", arguments[0])
    return await apply_edit(settings, Edit(removed=[key]), dependencies)


async def list_stops(
    settings: PlatformSettings, arguments: Sequence[str], dependencies: Dependencies
) -> CommandResult:
    """Return the stops that have not ended, of one service or of all."""
    service = arguments[0] if arguments else None
    url, timeout_s = settings.platform_url, settings.platform_timeout_s
    async with dependencies.open_platform(url, timeout_s) as platform:
        result = await scan_configuration(platform)
    match result:
        case Result(tag="ok", ok=configuration):
            pass
        case Result(error=error):
            return unavailable_result(error.detail)
    if service is not None and configuration.service(service) is None:
        return refused_result(f"there is no service {service!r}")
    now_s = dependencies.clock.wall_s()
    stops = [stop for stop in configuration.stops(service) if stop.end_s > now_s]
    stops.sort(key=lambda stop: (stop.start_s, stop.name))
    text = "\n".join(_stop_line(stop) for stop in stops) or "no planned stops"
    return CommandResult(ExitStatus.OK, text, stops)


def _stop_line(stop: PlannedStop) -> str:
    start, end = _format_time(stop.start_s), _format_time(stop.end_s)
    return f"{stop.name}  {stop.service}/{stop.target}  {start} to {end}  {stop.reason}"


def _format_time(moment_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(moment_s, datetime.UTC)
    return moment.isoformat(timespec="seconds")
