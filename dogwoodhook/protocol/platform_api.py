"""Bodies of the platform's HTTP interface, as JSON.

The platform client and the stand-in for tests share these models; both validate what
they receive. Row values are plain JSON here; ``dogwoodhook.protocol.rows`` decodes
them.
"""

from typing import Any

from pydantic import BaseModel, ConfigDict

from dogwoodhook.coordination.platform import Condition, Vm


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ReadBody(_Body):
    """Request of ``POST /table/read``: the rows with these keys."""

    keys: tuple[str, ...]


class ScanBody(_Body):
    """Request of ``POST /table/scan``: the rows whose keys begin with a prefix."""

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
    """Answer to a read or a scan."""

    rows: tuple[RowBody, ...]


class WriteBody(_Body):
    """A row to store, or to delete where ``value`` is null."""

    key: str
    value: Any


class CommitBody(_Body):
    """Request of ``POST /table/commit``: a transaction."""

    conditions: tuple[Condition, ...]
    writes: tuple[WriteBody, ...]
    token: str


class CommittedBody(_Body):
    """Answer to a commit that took effect."""

    version: int


class ConflictBody(_Body):
    """Answer, with status 409, to a commit whose condition on ``key`` did not hold."""

    key: str


class VmsBody(_Body):
    """Answer to ``GET /vms``: the list of VMs."""

    vms: tuple[Vm, ...]
