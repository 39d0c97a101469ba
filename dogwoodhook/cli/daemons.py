"""``targets`` and ``explain``: a daemon's view of targets, its actions and reasons."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from expression import Error, Ok, Result

from dogwoodhook.cli.admin_client import AdminClient
from dogwoodhook.cli.dependencies import Dependencies
from dogwoodhook.cli.results import (
    CommandResult,
    ExitStatus,
    findings_result,
    refused_result,
    unavailable_result,
)
from dogwoodhook.cli.settings import DaemonReadSettings
from dogwoodhook.coordination.membership import ADMIN_ROLE
from dogwoodhook.coordination.platform import VmPhase
from dogwoodhook.findings import Finding
from dogwoodhook.transport.status import ServiceReport, StatusReport, TargetReport

_Report = TypeVar("_Report")


@dataclass(frozen=True, slots=True)
class _NoAddress:
    """Neither the platform's address nor that of a daemon is set."""


@dataclass(frozen=True, slots=True)
class _NoAnswer:
    """No daemon answered; ``details`` has one line for each that was queried."""

    details: tuple[str, ...]


async def targets(
    settings: DaemonReadSettings, arguments: Sequence[str], dependencies: Dependencies
) -> CommandResult:
    """Return each target's state, with its reason, as known to one daemon."""
    match await _query_any(
        settings, dependencies, lambda admin, url: admin.status(url)
    ):
        case Result(tag="ok", ok=report):
            return _targets_result(report, arguments[0] if arguments else None)
        case Result(error=error):
            return _error_result(error)


async def explain(
    settings: DaemonReadSettings, arguments: Sequence[str], dependencies: Dependencies
) -> CommandResult:
    """Return one daemon's actions on a service's targets, with reasons."""
    (service,) = arguments
    match await _query_any(
        settings, dependencies, lambda admin, url: admin.explain(url, service)
    ):
        case Result(tag="ok", ok=report):
            text = "\n".join(report.lines) or f"nothing was done to {service}"
            return CommandResult(ExitStatus.OK, text, report)
        case Result(error=error):
            return _error_result(error)


async def _query_any(
    settings: DaemonReadSettings,
    dependencies: Dependencies,
    query: Callable[[AdminClient, str], Awaitable[Result[_Report, str]]],
) -> Result[_Report, _NoAddress | _NoAnswer]:
    """Query the daemons in turn until one answers."""
    match await _admin_urls(settings, dependencies):
        case Result(tag="ok", ok=urls):
            pass
        case Result(error=error):
            return Error(error)
    details: list[str] = []
    async with dependencies.open_admin_client() as admin:
        for url in urls:
            match await query(admin, url):
                case Result(tag="ok", ok=report):
                    return Ok(report)
                case Result(error=detail):
                    details.append(detail)
    return Error(_NoAnswer(tuple(details) or ("no live daemon is listed",)))


async def _admin_urls(
    settings: DaemonReadSettings, dependencies: Dependencies
) -> Result[tuple[str, ...], _NoAddress | _NoAnswer]:
    if settings.admin_url is not None:
        return Ok((settings.admin_url,))
    if settings.platform_url is None:
        return Error(_NoAddress())
    url, timeout_s = settings.platform_url, settings.platform_timeout_s
    async with dependencies.open_platform(url, timeout_s) as platform:
        result = await platform.list_vms()
    match result:
        case Result(tag="ok", ok=vms):
            return Ok(
                tuple(
                    f"http://{vm.address}"
                    for vm in vms
                    if vm.role == ADMIN_ROLE
                    and vm.phase is VmPhase.LIVE
                    and settings.daemon in (None, vm.name)
                )
            )
        case Result(error=error):
            return Error(_NoAnswer((f"the VM list: {error.detail}",)))


def _targets_result(report: StatusReport, service: str | None) -> CommandResult:
    if service is not None and service not in report.services:
        return refused_result(f"there is no service {service!r}")
    shown = {
        name: each for name, each in report.services.items() if service in (None, name)
    }
    readiness = "ready" if report.is_ready else f"unready: {report.reason}"
    lines = [
        f"as {report.daemon} in {report.data_centre} sees it, at version"
        f" {report.configuration_version} ({readiness})"
    ]
    for name, each in shown.items():
        lines += _service_lines(name, each)
    data = report.model_copy(update={"services": shown})
    return CommandResult(ExitStatus.OK, "\n".join(lines), data)


def _service_lines(name: str, service: ServiceReport) -> list[str]:
    lines = [
        f"{name}: floor {service.capacity_floor} of {len(service.targets)} targets,"
        f" {service.in_flight} in flight, {service.queued} queued"
    ]
    return lines + [_target_line(target) for target in service.targets]


def _target_line(target: TargetReport) -> str:
    reasons = [each for each in (target.reason, target.why_excluded) if each]
    line = (
        f"  {target.name:<20} {target.data_centre:<12} {target.address:<21}"
        f" {target.phase:<10} {target.score:5.1f}/{target.threshold:.1f}"
    )
    return f"{line}  {'; '.join(reasons)}".rstrip()


def _error_result(error: _NoAddress | _NoAnswer) -> CommandResult:
    match error:
        case _NoAddress():
            message = "required; set it or --admin_url"
            return findings_result([Finding("--platform_url", message)])
        case _NoAnswer(details=details):
            return unavailable_result("; ".join(details))
