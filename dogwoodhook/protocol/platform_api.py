"""Bodies of the platform's HTTP interface, as JSON.

The client and the stand-in share these models; both validate what they receive.
Row values are plain JSON here, see ``dogwoodhook.protocol.rows``.
"""

from typing import Any

from pydantic import BaseModel, ConfigDict

from dogwoodhook.coordination.platform import Condition, Vm


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ReadBody(_Body):
    """Asks for rows by key: ``POST /table/read``."""

    keys: tuple[str, ...]


class ScanBody(_Body):
    """Asks for rows below a prefix: ``POST /table/scan``."""

    prefix: str
    after: str = ""
    limit: int = 1000


class RowBody(_Body):
    """A stored row."""

    key: str
    value: Any
    version: int
    token: str


class RowsBody(_Body):
    """Answers a read or a scan."""

    rows: tuple[RowBody, ...]


class WriteBody(_Body):
    """A row to store, or to delete where ``value`` is null."""

    key: str
    value: Any


class CommitBody(_Body):
    """Asks for a transaction: ``POST /table/commit``."""

    conditions: tuple[Condition, ...]
    writes: tuple[WriteBody, ...]
    token: str


class CommittedBody(_Body):
    """Answers a commit that took effect."""

    version: int


class ConflictBody(_Body):
    """Answers a commit whose condition on ``key`` did not hold, with status 409."""

    key: str


class VmsBody(_Body):
    """The list of VMs: ``GET /vms``."""

    vms: tuple[Vm, ...]
