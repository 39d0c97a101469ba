"""Flags of the commands; each is also ``DOGWOODHOOK_<FLAG>``."""

import getpass
from typing import Annotated

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field

from dogwoodhook.settings import PlatformUrl

Seconds = Annotated[float, Field(gt=0, le=3600)]


class OutputSettings(BaseModel):
    """Flags of every command."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    as_json: bool = Field(
        default=False, alias="json", description="print JSON for a script"
    )


class PlatformSettings(OutputSettings):
    """Flags of the commands that read the platform."""

    platform_url: PlatformUrl = Field(description="address of the platform's service")
    platform_timeout_s: Seconds = Field(
        default=5.0, description="longest wait for one answer of the platform, seconds"
    )


class EditSettings(PlatformSettings):
    """Flags of the commands that change the configuration."""

    author: str = Field(
        default_factory=getpass.getuser,
        min_length=1,
        max_length=200,
        description="who makes the change, as the history shows it; default: the user",
    )
    wait: bool = Field(
        default=False, description="wait until the change is in force on all live VMs"
    )
    wait_timeout_s: Seconds = Field(
        default=30.0, description="longest wait of --wait, seconds"
    )


class DocumentSettings(EditSettings):
    """Flags of the commands that change one template or service."""

    expect_version: int | None = Field(
        default=None,
        ge=0,
        description="version that the edit is based on, 0 for a new document;"
        " the edit is refused if the document has another version",
    )


class StopSettings(EditSettings):
    """Flags of ``stop schedule``."""

    start: AwareDatetime = Field(
        description="start time with UTC offset, such as 2026-12-05T20:00:00+02:00"
    )
    end: AwareDatetime = Field(description="end, in the same form")
    name: str | None = Field(
        default=None,
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
        description="name of the stop; default: target and start",
    )
    reason: str = Field(
        default="", max_length=500, description="reason, shown to other operators"
    )


class DaemonReadSettings(OutputSettings):
    """Flags of the commands that query a daemon; one of the addresses is required."""

    platform_url: PlatformUrl | None = Field(
        default=None,
        description="address of the platform's service, which lists the daemons",
    )
    admin_url: PlatformUrl | None = Field(
        default=None, description="address of one daemon's admin listener"
    )
    platform_timeout_s: Seconds = Field(
        default=5.0, description="longest wait for one answer of the platform, seconds"
    )
    daemon: str | None = Field(
        default=None, description="name of the daemon to query; default: any live one"
    )


class HistorySettings(PlatformSettings):
    """Flags of ``history``."""

    limit: int = Field(
        default=20, ge=1, le=10_000, description="entries shown, newest first"
    )
