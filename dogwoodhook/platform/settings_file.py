"""The platform's settings file: lines of ``a.b=value``.

Fields that the daemon does not use are ignored. Problems with the others are collected
and reported together, each with its line.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from dogwoodhook.findings import Finding, FindingsError
from dogwoodhook.platform.durations import parse_duration_s
from dogwoodhook.vm_settings import (
    MAX_HOST_LENGTH,
    MAX_PORT,
    Address,
    ServiceBounds,
    VmSettings,
    is_host,
)

SETTINGS_VARIABLE = "DOGWOODHOOK_SETTINGS"

METRICS_PORT = 9464
"""Port of the metrics on the VM's own address, as set in ``deploy/system.toml``."""

BYTES_PER_MB = 1024 * 1024

COMPETING_LOAD = "pressure"
"""Part of the rules that is in force where callers compete for too little room."""

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Line:
    number: int
    value: str


class _Fields:
    """Fields by name; collects a finding for each that is missing or malformed."""

    def __init__(self, text: str, *, place: str) -> None:
        self._place = place
        self._lines: dict[str, _Line] = {}
        self.findings: list[Finding] = []
        for number, raw in enumerate(text.splitlines(), start=1):
            line = raw.strip()
            if not line or line.startswith("#"):
                continue
            name, separator, value = line.partition("=")
            if not separator:
                self._add_finding(number, f"received {line!r}; allowed is name=value")
                continue
            self._lines[name.strip()] = _Line(number, value.strip())

    def required(self, name: str, parse: Callable[[str], T]) -> T | None:
        """Return a field's value; ``None`` and a finding if it is missing or bad."""
        if name not in self._lines:
            self.findings.append(Finding(self._place, f"{name} is missing"))
            return None
        return self._parsed(name, parse)

    def optional(self, name: str, parse: Callable[[str], T], default: T) -> T:
        """Return a field's value, or the default if it is missing, empty or bad.

        A bad value is also a finding.
        """
        if name not in self._lines or not self._lines[name].value:
            return default
        value = self._parsed(name, parse)
        return default if value is None else value

    def _parsed(self, name: str, parse: Callable[[str], T]) -> T | None:
        line = self._lines[name]
        try:
            return parse(line.value)
        except ValueError as error:
            self._add_finding(line.number, f"{name}: {error}")
            return None

    def _add_finding(self, number: int, message: str) -> None:
        self.findings.append(Finding(f"{self._place}:{number}", message))


def parse_settings(text: str, *, place: str) -> VmSettings:
    """Return the settings of a file's text, or raise ``FindingsError``."""
    fields = _Fields(text, place=place)
    caller_address = fields.required("listen.frontend", parse_address)
    vm_name = fields.required("nodeName", _non_empty)
    data_centre = fields.required("zone", _non_empty)
    readiness_address = fields.required("listen.readiness", parse_address)
    store_address = fields.required("provider.address", parse_address)
    host = fields.required("ip", _non_empty)
    # The range is available for traffic between daemons; they use its first port.
    peer_port = fields.required("portRange", _first_port)
    bounds = _parse_bounds(fields)
    memory_mb = fields.optional("limits.memoryMb", _whole_number, 0)
    max_descriptors = fields.optional("limits.maxFds", _whole_number, 0)
    has_competing_load = fields.optional("contracts", _has_competing_load, False)
    metrics_address = Address(host, METRICS_PORT) if host else None
    if (
        fields.findings
        or caller_address is None
        or vm_name is None
        or data_centre is None
        or readiness_address is None
        or store_address is None
        or host is None
        or peer_port is None
    ):
        raise FindingsError(fields.findings)
    return VmSettings(
        vm_name=vm_name,
        data_centre=data_centre,
        caller_address=caller_address,
        readiness_address=readiness_address,
        peer_address=Address(host, peer_port),
        store_address=store_address,
        metrics_address=metrics_address,
        bounds=bounds,
        memory_bytes=memory_mb * BYTES_PER_MB if memory_mb else None,
        max_descriptors=max_descriptors or None,
        has_competing_load=has_competing_load,
    )


def parse_address(text: str) -> Address:
    """Return the address of ``host:port``.

    >>> parse_address("10.1.0.15:8641")
    Address(host='10.1.0.15', port=8641)
    """
    host, _, port = text.rpartition(":")
    if not is_host(host) or not (port.isascii() and port.isdigit()):
        shown = text if len(text) <= MAX_HOST_LENGTH else f"{text[:20]}..."
        raise ValueError(f"received {shown!r}; allowed is host:port")
    return Address(host, _port(port))


def _parse_bounds(fields: _Fields) -> ServiceBounds:
    default = ServiceBounds()
    return ServiceBounds(
        grace_s=fields.optional("bounds.grace", parse_duration_s, default.grace_s),
        configuration_s=fields.optional(
            "bounds.config", _positive_duration_s, default.configuration_s
        ),
        drain_s=fields.optional("bounds.drain", _positive_duration_s, default.drain_s),
        retry_ratio=fields.optional(
            "bounds.retryBudgetRatio", float, default.retry_ratio
        ),
        retry_window_s=fields.optional(
            "bounds.budgetWindow", parse_duration_s, default.retry_window_s
        ),
        retry_extra=fields.optional(
            "bounds.retryBudgetExtra", float, default.retry_extra
        ),
        revoke_s=fields.optional(
            "bounds.revoke", _positive_duration_s, default.revoke_s
        ),
        fails_closed=fields.optional("bounds.failClosed", _truth, default.fails_closed),
        quota_window_s=fields.optional(
            "bounds.quotaWindow", _positive_duration_s, default.quota_window_s
        ),
        quota_overshoot=fields.optional(
            "bounds.quotaOvershoot", _non_negative, default.quota_overshoot
        ),
        quota_slack=fields.optional(
            "bounds.quotaSlack", _non_negative, default.quota_slack
        ),
    )


def _positive_duration_s(text: str) -> float:
    seconds = parse_duration_s(text)
    if not seconds:
        raise ValueError(f"received {text!r}; allowed is more than 0")
    return seconds


def _non_negative(text: str) -> float:
    number = float(text)
    if not 0 <= number < math.inf:
        raise ValueError(f"received {text!r}; allowed is 0 or more")
    return number


def _whole_number(text: str) -> int:
    number = int(text)
    if number < 0:
        raise ValueError(f"received {text!r}; allowed is 0 or more")
    return number


def _has_competing_load(text: str) -> bool:
    return COMPETING_LOAD in (name.strip() for name in text.split(","))


def _truth(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"received {text!r}; allowed is true or false")
    return text == "true"


def _non_empty(text: str) -> str:
    if not text:
        raise ValueError("received nothing; a value is needed")
    return text


def _port(text: str) -> int:
    port = int(text)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"received port {port}, allowed 1..{MAX_PORT}")
    return port


def _first_port(text: str) -> int:
    return _port(text.split(",")[0].strip())
