"""A request, and a process of a target that it was sent to."""

from dataclasses import dataclass

from dogwoodhook.state.quarantine import RequestIdentity


@dataclass(frozen=True, slots=True)
class TargetProcess:
    """An incarnation of a target.

    >>> str(TargetProcess("t1", 7))
    't1/7'
    """

    target: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.target}/{self.incarnation}"


@dataclass(frozen=True, slots=True)
class AttemptedRequest:
    """A request at a daemon, as it is logged if a target ends under it."""

    service: str
    identity: RequestIdentity
    request_id: str
    caller: str
