"""Whether a request may run on behalf of a workspace, given the key that it carries.

Keys are added, moved and withdrawn while requests wait, so the decision is taken again
immediately before each sending of a request. A daemon that may not know the newest
configuration cannot tell whether a key that it does not know is wrong: a newer version
may hold it. Such a request is not denied but refused as not run.

Designed for: a hundred daemons that learn of a change of keys at different moments, of
which some are paused or cut off from the store for longer than any bound; callers with
wrong keys, who send as fast as they can.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from dogwoodhook.state.workspace_policy import WorkspacePolicy, Workspaces, key_digest

DIGEST_LABEL_DIGITS = 12
"""Hexadecimal digits of a key's digest that identify it in a log."""


class KeyProblem(StrEnum):
    """Why a request is refused because of its key.

    ``WITHDRAWN`` is the key of a request that waited, and ``UNCONFIRMED`` one on which
    the known configuration is too old to decide.
    """

    ABSENT = "absent"
    REPEATED = "repeated"
    EMPTY = "empty"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, slots=True)
class Public:
    """The request needs no key."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request runs on behalf of a workspace."""

    workspace: WorkspacePolicy


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """No workspace holds the key.

    ``digest_label`` identifies a key that was sent, without containing any of it.
    """

    problem: KeyProblem
    digest_label: str = ""


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The known configuration is too old to tell whether a workspace holds the key.

    ``holder`` holds it according to that configuration.
    """

    holder: WorkspacePolicy | None = None


KeyAccess = Public | Admitted | UnknownKey
Access = KeyAccess | Unconfirmed


@dataclass(frozen=True, slots=True)
class ConfigurationAge:
    """How far the configuration in force may be behind the newest one.

    ``age_s`` is the time since it was known to be the newest, and ``is_newer_known`` is
    set once another daemon has announced a newer one. ``configuration_s``, ``revoke_s``
    and ``fails_closed`` are the bounds in ``vm_settings.ServiceBounds``.
    """

    age_s: float
    is_newer_known: bool
    configuration_s: float
    revoke_s: float
    fails_closed: bool

    @property
    def may_lack_keys(self) -> bool:
        """Return whether a version in force elsewhere may hold further keys."""
        return self.is_newer_known or self.age_s > self.configuration_s

    @property
    def may_hold_withdrawn_keys(self) -> bool:
        """Return whether keys have to be refused, as they may have been withdrawn."""
        return self.fails_closed and self.age_s > self.revoke_s


def access_by_key(
    workspaces: Workspaces | None, *, is_public: bool, key_values: Sequence[str]
) -> KeyAccess:
    """Return the workspace of a request on a route that ``is_public`` or is not.

    ``key_values`` are the values of all headers that carry a key.

    >>> lab = WorkspacePolicy("lab", frozenset({key_digest("a-key")}))
    >>> workspaces = Workspaces.of([lab])
    >>> access_by_key(workspaces, is_public=False, key_values=["a-key"]).workspace.name
    'lab'
    >>> access_by_key(workspaces, is_public=False, key_values=["a-key", "a-key"])
    UnknownKey(problem=<KeyProblem.REPEATED: 'repeated'>, digest_label='')
    """
    if workspaces is None or is_public:
        return Public()
    if not key_values:
        return UnknownKey(KeyProblem.ABSENT)
    if len(key_values) > 1:
        return UnknownKey(KeyProblem.REPEATED)
    key = key_values[0]
    if not key:
        return UnknownKey(KeyProblem.EMPTY)
    holder = workspaces.holder_of(key)
    if holder is None:
        label = key_digest(key).hex()[:DIGEST_LABEL_DIGITS]
        return UnknownKey(KeyProblem.UNKNOWN, label)
    return Admitted(holder)


def confirmed_access(access: KeyAccess, age: ConfigurationAge) -> Access:
    """Return the access, or that the configuration is too old to decide on it."""
    match access:
        case UnknownKey() if age.may_lack_keys:
            return Unconfirmed()
        case Admitted(workspace) if age.may_hold_withdrawn_keys:
            return Unconfirmed(workspace)
        case _:
            return access


class ReportedKeys:
    """Chooses which refusals of keys are logged: each label once in an interval.

    >>> reported = ReportedKeys(limit=1, interval_s=60.0)
    >>> [reported.is_new(label, now_s=0.0) for label in ("a", "a", "b")]
    [True, False, False]
    >>> reported.is_new("b", now_s=61.0)
    True
    """

    def __init__(self, *, limit: int, interval_s: float) -> None:
        self._limit = limit
        self._interval_s = interval_s
        self._labels: set[str] = set()
        self._ends_s = float("-inf")

    def is_new(self, label: str, *, now_s: float) -> bool:
        """Return whether a label is to be logged, and remember that it was."""
        if now_s >= self._ends_s:
            self._labels.clear()
            self._ends_s = now_s + self._interval_s
        if label in self._labels or len(self._labels) >= self._limit:
            return False
        self._labels.add(label)
        return True
