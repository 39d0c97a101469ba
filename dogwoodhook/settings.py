"""Settings of the programs: flags and environment variables, checked together.

A settings class is a pydantic model. Each field can be set by a flag of its name or
by the environment variable ``DOGWOODHOOK_<FLAG>``; the flag takes precedence. All
problems are reported at once, each with the flag or variable, the value received and
what is allowed.
"""

import ipaddress
import socket
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated, Literal, TypeVar

from absl import flags
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from pydantic.fields import FieldInfo

from dogwoodhook.findings import Finding, FindingsError

ENVIRONMENT_PREFIX = "DOGWOODHOOK_"
MIN_SECRET_LENGTH = 16

SettingsModel = TypeVar("SettingsModel", bound=BaseModel)


def _check_ip_number(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _check_platform_url(value: str) -> str:
    if not value.startswith(("http://", "https://")):
        raise ValueError("must start with http:// or https://")
    return value.rstrip("/")


Port = Annotated[int, Field(ge=1, le=65535)]
IpNumber = Annotated[str, AfterValidator(_check_ip_number)]
PlatformUrl = Annotated[str, AfterValidator(_check_platform_url)]
LogLevel = Literal["debug", "info", "notice", "warning", "error"]


class DaemonSettings(BaseModel):
    """Settings of ``dogwoodhookd``."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    daemon_name: str = Field(
        default_factory=socket.gethostname,
        min_length=1,
        description="name of this daemon, unique in the fleet; default: the host name",
    )
    data_centre: str = Field(min_length=1, description="data centre this VM is in")
    platform_url: PlatformUrl = Field(description="address of the platform's service")
    fleet_secret: str = Field(
        min_length=MIN_SECRET_LENGTH,
        description="secret shared by all daemons; set it in the environment",
        repr=False,
    )
    listen_host: IpNumber = Field(
        default="127.0.0.1", description="IP number that the listeners bind"
    )
    caller_port: Port = Field(default=8080, description="port for callers")
    admin_port: Port = Field(default=8081, description="port for operators")
    peer_port: Port = Field(default=8082, description="port for other daemons")
    log_level: LogLevel = Field(default="info", description="lowest level logged")
    drain_timeout_s: float = Field(
        default=60.0,
        ge=0,
        le=3600,
        description="longest wait for requests in flight after SIGTERM, seconds",
    )
    unready_delay_s: float = Field(
        default=2.0,
        ge=0,
        le=300,
        description="time between becoming unready and closing the caller listener,"
        " so that the load balancer notices, seconds",
    )
    max_workspace_series: int = Field(
        default=200,
        ge=0,
        le=10_000,
        description="workspaces with metric series of their own; others share one",
    )
    max_service_series: int = Field(
        default=100,
        ge=0,
        le=10_000,
        description="services with metric series of their own; others share one",
    )
    max_in_flight: int = Field(
        default=2_000,
        ge=1,
        le=100_000,
        description="most requests in flight at once; more are refused as not run",
    )
    use_uvloop: bool = Field(default=True, description="run on the uvloop event loop")


@dataclass(frozen=True, slots=True)
class ParsedSettings:
    """Raw settings by name; ``places`` is the flag or variable that set each."""

    values: Mapping[str, str]
    places: Mapping[str, str]
    arguments: tuple[str, ...]


def read_settings(
    model: type[SettingsModel],
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> tuple[SettingsModel, tuple[str, ...]]:
    """Return the validated settings and the arguments that are not flags.

    ``arguments`` includes the program's name. Raises ``FindingsError`` with
    every problem, or ``SystemExit`` after ``--help``.

    >>> settings, _ = read_settings(
    ...     DaemonSettings,
    ...     ["dogwoodhookd", "--data_centre=kigali-1"],
    ...     {
    ...         "DOGWOODHOOK_PLATFORM_URL": "http://127.0.0.1:7000",
    ...         "DOGWOODHOOK_FLEET_SECRET": "0123456789abcdef",
    ...     },
    ... )
    >>> settings.data_centre
    'kigali-1'
    """
    parsed, findings = _parse(model, arguments, environment)
    try:
        settings = model.model_validate(dict(parsed.values))
    except ValidationError as error:
        findings += _findings_of(error, parsed)
        raise FindingsError(findings) from None
    if findings:
        raise FindingsError(findings)
    return settings, parsed.arguments


def _parse(
    model: type[BaseModel], arguments: Sequence[str], environment: Mapping[str, str]
) -> tuple[ParsedSettings, list[Finding]]:
    flag_values = _define_flags(model)
    findings: list[Finding] = []
    try:
        remaining = flag_values(list(arguments), known_only=True)[1:]
    except flags.Error as error:
        raise FindingsError([Finding("command line", str(error))]) from None
    if flag_values["help"].value:
        print(help_text(model))
        raise SystemExit(0)
    for argument in remaining:
        if argument.startswith("-") and argument != "-":
            findings.append(
                Finding(
                    argument.split("=")[0], "unknown flag; see --help for the flags"
                )
            )
    values: dict[str, str] = {}
    places: dict[str, str] = {}
    for field_name, info in model.model_fields.items():
        name = flag_name(field_name, info)
        variable = ENVIRONMENT_PREFIX + name.upper()
        if flag_values[name].present:
            values[name] = str(flag_values[name].value)
            places[name] = f"--{name}"
        elif variable in environment:
            values[name] = environment[variable]
            places[name] = variable
    return ParsedSettings(values, places, tuple(remaining)), findings


def _define_flags(model: type[BaseModel]) -> flags.FlagValues:
    flag_values = flags.FlagValues()
    flag_values.set_gnu_getopt()
    for name, info in model.model_fields.items():
        define = (
            _define_boolean_text if info.annotation is bool else flags.DEFINE_string
        )
        define(
            flag_name(name, info), None, info.description or "", flag_values=flag_values
        )
    flags.DEFINE_bool(
        "help", False, "show the flags", flag_values=flag_values, short_name="h"
    )
    return flag_values


def _define_boolean_text(
    name: str, default: None, help: str, flag_values: flags.FlagValues
) -> None:
    flags.DEFINE_bool(name, default, help, flag_values=flag_values)


def _findings_of(error: ValidationError, parsed: ParsedSettings) -> list[Finding]:
    findings = []
    for detail in error.errors():
        name = str(detail["loc"][0]) if detail["loc"] else "settings"
        place = parsed.places.get(name, f"--{name}")
        if detail["type"] == "missing":
            variable = ENVIRONMENT_PREFIX + name.upper()
            findings.append(Finding(place, f"required; set it or {variable}"))
            continue
        received = "***" if "secret" in name else repr(detail["input"])
        findings.append(Finding(place, f"received {received}: {detail['msg']}"))
    return findings


def help_text(model: type[BaseModel]) -> str:
    """Return the flags of a settings class, one a line."""
    lines = [model.__doc__ or "", ""]
    for name, info in model.model_fields.items():
        flag = flag_name(name, info)
        lines.append(f"  --{flag}: {info.description} ({default_text(model, name)})")
    return "\n".join(lines)


def flag_name(name: str, info: FieldInfo) -> str:
    """Return a field's flag: its alias if it has one, otherwise its name."""
    return info.alias or name


def default_text(model: type[BaseModel], name: str) -> str:
    """Return a setting's default as the help text and the docs show it."""
    info = model.model_fields[name]
    if info.is_required():
        return "required"
    if info.default_factory is not None:
        return "optional"
    return f"default {info.default!r}"
