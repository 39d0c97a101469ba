"""One daemon's copy of the targets that the platform's store lists.

Entries arrive as rows with versions. A row is applied if it is newer than the one
known, so changes may arrive twice, out of order and from several sources. An entry that
disappears around an outage of the store may merely have expired because its target
could not renew it; such removals take effect later.

Versions are positions (see ``state.store_position``). When the store comes back from a
copy, a row of the copy may be older than what is known: a target that drained or was
removed does not return by it, only by a row that was written since.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from dogwoodhook.state.store_position import era_of
from dogwoodhook.state.target_availability import (
    Availability,
    Available,
    Draining,
    Leaving,
    Paused,
    Replaced,
    Turn,
    Unlisted,
)

EXPIRY_HOLD_S = 2.2
"""Time after the store's return within which expired entries are renewed: the
platform's two seconds plus a margin."""

RECENTLY_JOINED_S = 10.0
"""Time after a target was first listed for which it counts as recently joined."""

MAX_ANNOUNCEMENTS = 4096
"""Targets of which this daemon remembers what they said of themselves in answers."""

MAX_TOMBSTONES = 4096
"""Removed entries whose versions are remembered."""


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as it registered itself.

    ``incarnation`` changes when a target restarts under the same name. ``warmup_s`` is
    the remaining time for which it is slow after its start.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    warmup_s: float
    incarnation: int

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class TargetChange:
    """A row's new entry, or ``None`` if the row was removed or describes no target."""

    name: str
    version: int
    entry: TargetEntry | None


class TargetDirectory:
    """The known targets; ``version`` is the store version that they reflect.

    ``doubtful`` names the targets that a copy of the store lists and that were removed
    before its return.
    ``on_restart`` is called with the name of a target that has a new incarnation.
    ``on_end`` is called with the entry of a target that had not announced its end, and
    that another process has replaced, under its name or at its address. ``on_removal``
    is called with such an entry if it was only removed: the target may still serve.
    ``on_era`` is called with each newer era of the store.
    """

    def __init__(
        self,
        *,
        on_restart: Callable[[str], None] = lambda name: None,
        on_end: Callable[[TargetEntry], None] = lambda entry: None,
        on_removal: Callable[[TargetEntry], None] = lambda entry: None,
        on_era: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._on_era = on_era
        self._on_restart = on_restart
        self._on_end = on_end
        self._on_removal = on_removal
        self._names: dict[str, str] = {}
        self.version = 0
        # The version of the newest complete read.
        self._complete_version = 0
        # The first version known in the current era: rows up to it may be the copy's.
        self._era_start = 0
        self.doubtful: set[str] = set()
        self._entries: dict[str, TargetEntry] = {}
        self._versions: dict[str, int] = {}
        # For each target, the version of its last change that is relevant to placement.
        self._relevant_versions: dict[str, int] = {}
        self._removal_due_s: dict[str, float] = {}
        self._joined_s: dict[str, float] = {}
        self._serving: dict[str, tuple[TargetEntry, ...]] = {}
        # Listed targets whose address another process has had since it started.
        self._replaced: set[str] = set()
        # What targets said in answers. It stays when an entry is removed and returns.
        self._leaving: OrderedDict[str, Leaving] = OrderedDict()
        self._paused: OrderedDict[str, Paused] = OrderedDict()

    def get(self, name: str) -> TargetEntry | None:
        """Return a target's entry, draining ones included."""
        return self._entries.get(name)

    def is_serving(self, name: str) -> bool:
        """Return whether a target accepts new work, according to the store."""
        entry = self._entries.get(name)
        return entry is not None and not entry.is_draining

    def availability(
        self, target: TargetEntry, *, turn: Turn, now_s: float
    ) -> Availability:
        """Return whether a target may get a request now.

        What the target said itself goes before what the store says.
        """
        known = self._entries.get(target.name)
        incarnation = (known or target).incarnation
        leaving = self._leaving.get(target.name)
        if leaving is not None and leaving.incarnation == incarnation:
            return leaving
        paused = self._paused.get(target.name)
        if paused is not None and now_s < paused.returns_s(turn):
            return paused
        if known is None:
            return Unlisted()
        if known.name in self._replaced:
            return Replaced()
        return Draining() if known.is_draining else Available()

    def may_be_probed(self, target: TargetEntry, *, now_s: float) -> bool:
        """Return whether a connection that carries no request may be opened."""
        match self.availability(target, turn=Turn.OTHER, now_s=now_s):
            case Leaving() | Paused():
                return False
            case Available() | Draining() | Unlisted() | Replaced():
                return True

    def record_leaving(self, target: TargetEntry) -> bool:
        """Record that a target said that it leaves; return whether that is new."""
        known = self._entries.get(target.name, target)
        recorded = self._leaving.get(target.name)
        if recorded is not None and recorded.incarnation == known.incarnation:
            # This may be a late answer of a process that has been replaced.
            return False
        self._leaving[target.name] = Leaving(target.incarnation)
        self._leaving.move_to_end(target.name)
        if len(self._leaving) > MAX_ANNOUNCEMENTS:
            self._leaving.popitem(last=False)
        return True

    def record_pause(self, target: TargetEntry, pause: Paused) -> bool:
        """Record a pause that a target asked for; return whether it ends last."""
        recorded = self._paused.get(target.name)
        if recorded is not None and pause.until_s <= recorded.until_s:
            return False
        self._paused[target.name] = pause
        self._paused.move_to_end(target.name)
        if len(self._paused) > MAX_ANNOUNCEMENTS:
            self._paused.popitem(last=False)
        return True

    def has_joined_recently(self, name: str, *, now_s: float) -> bool:
        """Return whether a target joined recently, after this daemon's first read."""
        return now_s - self._joined_s.get(name, float("-inf")) < RECENTLY_JOINED_S

    def serving(self, service: str, *, now_s: float) -> tuple[TargetEntry, ...]:
        """Return the targets of a service that accept new work, by the store's list."""
        if self._removal_due_s:
            self._remove_due(now_s)
        return self._serving.get(service, ())

    def all_serving(self, *, now_s: float) -> tuple[TargetEntry, ...]:
        """Return the targets of all services that accept new work."""
        return tuple(
            each
            for service in tuple(self._serving)
            for each in self.serving(service, now_s=now_s)
        )

    def available(
        self, service: str, *, turn: Turn, now_s: float
    ) -> tuple[TargetEntry, ...]:
        """Return the targets of a service that may get a request now."""
        listed = self.serving(service, now_s=now_s)
        if not self._leaving and not self._paused:
            return listed
        return tuple(
            each
            for each in listed
            if isinstance(self.availability(each, turn=turn, now_s=now_s), Available)
        )

    def pauses(self, service: str, *, turn: Turn, now_s: float) -> tuple[Paused, ...]:
        """Return the pauses of a service's targets that have not ended."""
        states = (
            self.availability(each, turn=turn, now_s=now_s)
            for each in self.serving(service, now_s=now_s)
        )
        return tuple(state for state in states if isinstance(state, Paused))

    def count_leaving(self, service: str, *, now_s: float) -> int:
        """Return how many targets of a service said that they leave."""
        states = (
            self.availability(each, turn=Turn.OTHER, now_s=now_s)
            for each in self.serving(service, now_s=now_s)
        )
        return sum(isinstance(state, Leaving) for state in states)

    def apply(
        self,
        changes: Iterable[TargetChange],
        *,
        version: int,
        now_s: float,
        removal_hold_s: float = 0.0,
    ) -> tuple[TargetChange, ...]:
        """Apply rows read up to a version; return those relevant to placement.

        Removals take effect after ``removal_hold_s``, unless the entry returns. An
        entry that the newest complete read lacked and that is not newer was removed
        before that read.
        """
        return self._apply(
            changes,
            version=version,
            now_s=now_s,
            removal_hold_s=removal_hold_s,
            unlisted_version=self._complete_version,
        )

    def removal_hold_s(self, *, now_s: float) -> float:
        """Return the time until the last delayed removal, 0 if there is none."""
        return max((0.0, *(due - now_s for due in self._removal_due_s.values())))

    def listed(self) -> tuple[TargetChange, ...]:
        """Return all entries but those whose removal is delayed."""
        return tuple(
            TargetChange(name, self._versions[name], entry)
            for name, entry in self._entries.items()
            if name not in self._removal_due_s
        )

    def changes_after(self, version: int) -> tuple[TargetChange, ...]:
        """Return the changes since a version that are relevant to placement, in order.

        A daemon that knows the targets up to that version and applies these changes has
        the same state as this one, whatever source either of them read from.
        """
        changes = [
            TargetChange(name, self._versions[name], self._listed(name))
            for name, relevant_version in self._relevant_versions.items()
            if relevant_version > version
        ]
        return tuple(sorted(changes, key=lambda change: change.version))

    def replace_all(
        self,
        entries: Iterable[TargetChange],
        *,
        version: int,
        now_s: float,
        removal_hold_s: float = 0.0,
    ) -> tuple[TargetChange, ...]:
        """Apply a complete read of the table; entries that it lacks were removed."""
        listed = tuple(entries)
        names = {change.name for change in listed}
        removed = tuple(
            TargetChange(name, version, None)
            for name in self._entries
            if name not in names and self._versions[name] <= version
        )
        is_outdated = version < self._complete_version
        applied = self._apply(
            listed + removed,
            version=version,
            now_s=now_s,
            removal_hold_s=removal_hold_s,
            unlisted_version=self._complete_version if is_outdated else 0,
        )
        self._complete_version = max(self._complete_version, version)
        return applied

    def _apply(
        self,
        changes: Iterable[TargetChange],
        *,
        version: int,
        now_s: float,
        removal_hold_s: float,
        unlisted_version: int,
    ) -> tuple[TargetChange, ...]:
        applied = []
        if era_of(version) < era_of(self.version):
            return ()
        if era_of(version) > era_of(self.version):
            self._era_start = version
            self._on_era(era_of(version))
        for read in changes:
            if read.version <= self._versions.get(read.name, unlisted_version):
                continue
            change = self._without_return(read)
            if change is None:
                self.doubtful.add(read.name)
                continue
            self.doubtful.discard(read.name)
            self._versions[change.name] = change.version
            is_new = change.entry is not None and change.name not in self._entries
            if is_new and self.version:
                self._joined_s[change.name] = now_s
            if self._apply_one(change, now_s + removal_hold_s):
                self._relevant_versions[change.name] = change.version
                applied.append(change)
        self.version = max(self.version, version)
        if applied:
            self._index()
        self._remove_due(now_s)
        self._trim()
        return tuple(applied)

    def _without_return(self, change: TargetChange) -> TargetChange | None:
        """Return a change without what a copy of the store brings back.

        Returns ``None`` for a target that was removed in an older era, unless its row
        was written since then.
        """
        known_version = self._versions.get(change.name, 0)
        if change.entry is None or era_of(known_version) == era_of(change.version):
            return change
        known = self._entries.get(change.name)
        is_of_copy = change.version <= self._era_start
        if known is None:
            was_removed = known_version > 0
            return None if was_removed and is_of_copy else change
        if is_of_copy and change.entry.incarnation < known.incarnation:
            # The known process has replaced that one, and has not ended.
            return replace(change, entry=known)
        if known.is_draining and known.incarnation == change.entry.incarnation:
            return replace(change, entry=replace(change.entry, is_draining=True))
        return change

    def _listed(self, name: str) -> TargetEntry | None:
        return None if name in self._removal_due_s else self._entries.get(name)

    def _apply_one(self, change: TargetChange, removal_s: float) -> bool:
        known = self._entries.get(change.name)
        if change.entry is None:
            if known is None:
                # Another daemon may have read the entry before its removal.
                return True
            self._removal_due_s[change.name] = removal_s
            return True
        if known is not None and known.incarnation != change.entry.incarnation:
            self._on_restart(change.name)
        self._report_replaced(change.entry)
        was_pending_removal = self._removal_due_s.pop(change.name, None) is not None
        self._entries[change.name] = change.entry
        return (
            was_pending_removal
            or known is None
            or _is_relevant_change(known, change.entry)
        )

    def _report_replaced(self, entry: TargetEntry) -> None:
        """Report the ends of the targets that a new entry replaces."""
        if self._entries.get(entry.name) == entry:
            return
        for name in {entry.name, self._names.get(entry.address, entry.name)}:
            known = self._entries.get(name)
            if known is None or known.is_draining:
                continue
            has_new_process = known.incarnation != entry.incarnation
            if has_new_process or known.name != entry.name:
                self._on_end(known)
        self._names[entry.address] = entry.name

    def _remove_due(self, now_s: float) -> None:
        due = [name for name, due_s in self._removal_due_s.items() if due_s <= now_s]
        for name in due:
            del self._removal_due_s[name]
            removed = self._entries.pop(name, None)
            if removed is None:
                continue
            if self._names.get(removed.address) == name:
                del self._names[removed.address]
            if not removed.is_draining:
                self._on_removal(removed)
            self._joined_s.pop(name, None)
        if due:
            self._index()

    def _index(self) -> None:
        started: defaultdict[str, int] = defaultdict(int)
        for entry in self._entries.values():
            started[entry.address] = max(started[entry.address], entry.incarnation)
        self._replaced = {
            entry.name
            for entry in self._entries.values()
            if entry.incarnation < started[entry.address]
        }
        serving: defaultdict[str, list[TargetEntry]] = defaultdict(list)
        for entry in self._entries.values():
            if not entry.is_draining and entry.name not in self._replaced:
                serving[entry.service].append(entry)
        self._serving = {name: tuple(each) for name, each in serving.items()}

    def _trim(self) -> None:
        if len(self._versions) <= MAX_TOMBSTONES + len(self._entries):
            return
        removed = [name for name in self._versions if name not in self._entries]
        for name in sorted(removed, key=self._versions.__getitem__)[
            : len(removed) // 2
        ]:
            del self._versions[name]
            self._relevant_versions.pop(name, None)


def _is_relevant_change(known: TargetEntry, entry: TargetEntry) -> bool:
    """Return whether a change is relevant to placement; a shorter warm-up is not."""
    if known == entry:
        # Fast path: nearly every row is a heartbeat that changes nothing.
        return False
    return replace(known, warmup_s=0.0) != replace(entry, warmup_s=0.0) or (
        known.warmup_s > 0
    ) != (entry.warmup_s > 0)
