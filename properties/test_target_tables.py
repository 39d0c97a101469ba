"""Checks that a directory matches the store's table, whatever it was sent before."""

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodhook.state.target_directory import (
    TargetChange,
    TargetDirectory,
    TargetEntry,
)

NAMES = ("t1", "t2")

HISTORIES = st.lists(
    st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1, max_size=8
)


@dataclass(frozen=True)
class Table:
    """All targets as of a version."""

    version: int


@dataclass(frozen=True)
class Update:
    """The changes after a version, as they were at a later one."""

    after_version: int
    version: int


def entry_of(name):
    return TargetEntry(name, "payouts", name, 80, "oulu-1", 3, False, 0.0, 1)


class History:
    """The changes of the store's table; each has the next version."""

    def __init__(self, changes):
        self._changes = [
            TargetChange(name, version, entry_of(name) if is_listed else None)
            for version, (name, is_listed) in enumerate(changes, start=1)
        ]

    @property
    def version(self):
        return len(self._changes)

    def newest(self, version, *, after_version=0):
        """Return the newest change of each row up to a version."""
        changes = self._changes[after_version:version]
        return tuple({change.name: change for change in changes}.values())

    def table(self, version):
        return tuple(each for each in self.newest(version) if each.entry is not None)

    def deliver(self, message, directory):
        match message:
            case Table(version):
                directory.replace_all(self.table(version), version=version, now_s=0.0)
            case Update(after_version, version):
                has_gap = after_version > directory.version
                directory.apply(
                    self.newest(version, after_version=after_version),
                    version=directory.version if has_gap else version,
                    now_s=0.0,
                )


@st.composite
def deliveries(draw):
    """Draw a history, and what a daemon is sent of it, in any order."""
    history = History(draw(HISTORIES))
    versions = st.integers(1, history.version)
    updates = st.tuples(versions, versions).map(
        lambda pair: Update(min(pair) - 1, max(pair))
    )
    messages = st.lists(st.one_of(versions.map(Table), updates), max_size=4)
    first = Table(draw(versions))
    return history, [first, *draw(messages)]


@settings(max_examples=1_000)
@given(deliveries())
def test_a_directory_equals_the_table_once_it_has_read_the_changes_after_its_version(
    delivered,
):
    history, messages = delivered
    directory = TargetDirectory()
    for message in messages:
        history.deliver(message, directory)
    history.deliver(Update(directory.version, history.version), directory)
    listed = {change.name for change in history.table(history.version)}
    assert {each.name for each in directory.serving("payouts", now_s=0.0)} == listed
