"""The directory of the targets that the store lists, with changes in any order."""

import random
from dataclasses import replace

import pytest

from dogwoodhook.state.store_position import position_of
from dogwoodhook.state.target_availability import (
    MAX_RETURN_S,
    Available,
    Draining,
    Leaving,
    Replaced,
    Turn,
    pause_for,
    turn_of,
)
from dogwoodhook.state.target_directory import (
    EXPIRY_HOLD_S,
    RECENTLY_JOINED_S,
    TargetChange,
    TargetDirectory,
    TargetEntry,
)

T1 = TargetEntry("t1", "payouts", "10.0.0.1", 80, "oulu-1", 3, False, 0.0, 17)
T2 = replace(T1, name="t2", host="10.0.0.2")


@pytest.fixture
def directory():
    directory = TargetDirectory()
    directory.replace_all(
        [TargetChange("t1", 4, T1), TargetChange("t2", 5, T2)], version=9, now_s=0.0
    )
    return directory


def names(directory, *, now_s=0.0, service="payouts"):
    return sorted(each.name for each in directory.serving(service, now_s=now_s))


def availability(directory, target, *, now_s=0.0, turn=Turn.OTHER):
    return directory.availability(target, turn=turn, now_s=now_s)


def test_a_draining_target_gets_no_new_requests(directory):
    draining = replace(T1, is_draining=True)
    directory.apply([TargetChange("t1", 10, draining)], version=10, now_s=0.0)
    assert names(directory) == ["t2"]
    assert directory.get("t1") == draining


def test_an_older_row_changes_nothing(directory):
    draining = replace(T1, is_draining=True)
    assert directory.apply([TargetChange("t1", 4, draining)], version=4, now_s=0) == ()
    assert names(directory) == ["t1", "t2"]
    assert directory.version == 9


def test_an_outdated_row_does_not_restore_a_removed_target(directory):
    directory.apply([TargetChange("t1", 12, None)], version=12, now_s=0.0)
    directory.apply([TargetChange("t1", 11, T1)], version=12, now_s=0.1)
    assert names(directory) == ["t2"]


def test_a_complete_read_removes_the_targets_that_it_does_not_contain(directory):
    directory.replace_all([TargetChange("t2", 5, T2)], version=20, now_s=0.0)
    assert names(directory) == ["t2"]


def test_a_late_update_restores_a_target_that_was_removed_before_a_complete_read():
    """A relay may be paused for longer than the daemon has been running."""
    directory = TargetDirectory()
    directory.replace_all([TargetChange("t2", 5, T2)], version=9, now_s=0.0)
    directory.apply([TargetChange("t1", 4, T1)], version=9, now_s=0.1)
    assert names(directory) == ["t2"]
    directory.apply([TargetChange("t1", 10, T1)], version=10, now_s=0.2)
    assert names(directory) == ["t1", "t2"]


def test_an_older_complete_read_restores_a_target_that_a_newer_one_lacked():
    directory = TargetDirectory()
    directory.replace_all([TargetChange("t2", 5, T2)], version=9, now_s=0.0)
    older = [TargetChange("t1", 4, T1), TargetChange("t2", 5, T2)]
    directory.replace_all(older, version=7, now_s=0.1)
    assert names(directory) == ["t2"]
    assert directory.version == 9


def test_a_newer_complete_read_lists_a_target_that_an_older_one_lacked():
    directory = TargetDirectory()
    directory.replace_all([TargetChange("t2", 5, T2)], version=9, now_s=0.0)
    newer = [TargetChange("t1", 4, T1), TargetChange("t2", 5, T2)]
    directory.replace_all(newer, version=10, now_s=0.1)
    assert names(directory) == ["t1", "t2"]


def test_an_expired_entry_keeps_serving_until_the_hold_ends(directory):
    directory.apply(
        [TargetChange("t1", 10, None)],
        version=10,
        now_s=1.0,
        removal_hold_s=EXPIRY_HOLD_S,
    )
    assert names(directory, now_s=1.0 + EXPIRY_HOLD_S - 0.1) == ["t1", "t2"]
    assert names(directory, now_s=1.0 + EXPIRY_HOLD_S) == ["t2"]


def test_an_entry_that_returns_within_the_hold_stays(directory):
    directory.apply(
        [TargetChange("t1", 10, None)], version=10, now_s=1.0, removal_hold_s=2.0
    )
    directory.apply([TargetChange("t1", 11, T1)], version=11, now_s=2.0)
    assert names(directory, now_s=9.0) == ["t1", "t2"]


def test_only_changes_relevant_to_placement_are_returned(directory):
    colder = replace(T1, warmup_s=2.0)
    changes = directory.apply([TargetChange("t1", 10, colder)], version=10, now_s=0.0)
    assert changes == (TargetChange("t1", 10, colder),)
    warmer = replace(T1, warmup_s=1.0)
    assert directory.apply([TargetChange("t1", 11, warmer)], version=11, now_s=0) == ()


def test_a_reused_address_belongs_to_the_new_target(directory):
    reused = replace(T1, name="t3", service="stock")
    directory.apply(
        [TargetChange("t1", 10, None), TargetChange("t3", 11, reused)],
        version=11,
        now_s=0.0,
    )
    assert names(directory) == ["t2"]
    assert names(directory, service="stock") == ["t3"]


@pytest.mark.parametrize("service", ["payouts", "stock"])
def test_a_target_whose_address_another_process_has_gets_requests(directory, service):
    reused = replace(T1, name="t3", service=service, incarnation=18)
    directory.apply([TargetChange("t3", 10, reused)], version=10, now_s=0.0)
    listed = {
        each for name in ("payouts", "stock") for each in names(directory, service=name)
    }
    assert listed == {"t2", "t3"}
    assert availability(directory, T1) == Replaced()
    directory.apply([TargetChange("t3", 11, None)], version=11, now_s=0.0)
    assert names(directory) == ["t1", "t2"]


def test_targets_with_the_same_address_and_start_replace_each_other(directory):
    copy = replace(T1, name="t3")
    directory.apply([TargetChange("t3", 10, copy)], version=10, now_s=0.0)
    assert names(directory) == ["t1", "t2", "t3"]


def test_only_targets_added_after_the_first_read_count_as_recently_joined(directory):
    joined = replace(T1, name="t3")
    directory.apply([TargetChange("t3", 10, joined)], version=10, now_s=5.0)
    assert directory.has_joined_recently("t3", now_s=6.0)
    assert not directory.has_joined_recently("t3", now_s=5.0 + RECENTLY_JOINED_S)
    assert not directory.has_joined_recently("t1", now_s=6.0)


def test_changes_after_a_version_include_relevant_ones_and_no_heartbeats(directory):
    draining = replace(T1, is_draining=True)
    # Earlier changes are missing, so the directory's version stays.
    directory.apply([TargetChange("t1", 12, draining)], version=9, now_s=0.0)
    heartbeats = [TargetChange("t1", 14, draining), TargetChange("t2", 13, T2)]
    directory.apply(heartbeats, version=15, now_s=0.0)
    assert directory.changes_after(9) == (TargetChange("t1", 14, draining),)
    assert directory.changes_after(12) == ()


def test_a_removal_is_among_the_changes_during_its_hold_and_afterwards(directory):
    removal = TargetChange("t1", 10, None)
    directory.apply([removal], version=10, now_s=0.0, removal_hold_s=1.0)
    assert directory.changes_after(9) == (removal,)
    assert names(directory, now_s=2.0) == ["t2"]
    assert directory.changes_after(9) == (removal,)


def test_a_restart_of_a_target_is_not_noticed():
    restarted = []
    directory = TargetDirectory(on_restart=restarted.append)
    for version, incarnation in enumerate([17, 17, 18], start=1):
        entry = replace(T1, incarnation=incarnation)
        change = TargetChange("t1", version, entry)
        directory.apply([change], version=version, now_s=0.0)
    assert restarted == ["t1"]


@pytest.mark.parametrize("is_complete", [True, False])
def test_what_an_older_era_said_replaces_what_a_newer_one_says(is_complete):
    directory = TargetDirectory()
    row = TargetChange("t1", position_of(1, 1), T1)
    directory.replace_all([row], version=position_of(1, 1), now_s=0.0)
    directory.apply([], version=position_of(2, 3), now_s=0.0)
    older = TargetChange("t2", position_of(1, 9), T2)
    apply = directory.replace_all if is_complete else directory.apply
    assert apply([older], version=position_of(1, 9), now_s=1.0) == ()
    assert names(directory, now_s=9.0) == ["t1"]
    assert directory.version == position_of(2, 3)


def test_a_copy_of_the_store_ends_the_process_that_had_replaced_another_one():
    ended = []
    directory = TargetDirectory(on_end=ended.append)
    row = TargetChange("t1", position_of(1, 1), T1)
    directory.replace_all([row], version=position_of(1, 1), now_s=0.0)
    newer = replace(T1, incarnation=T1.incarnation + 1)
    row = TargetChange("t1", position_of(1, 2), newer)
    directory.apply([row], version=position_of(1, 2), now_s=0.0)
    ended.clear()
    row = TargetChange("t1", position_of(2, 1), T1)
    directory.replace_all([row], version=position_of(2, 1), now_s=0.0)
    assert directory.get("t1") == newer
    assert ended == []


@pytest.mark.parametrize("is_complete", [True, False])
def test_a_target_that_said_it_leaves_is_available_again_after_a_read(
    directory, is_complete
):
    assert directory.record_leaving(T1)
    assert not directory.record_leaving(T1)
    apply = directory.replace_all if is_complete else directory.apply
    apply([TargetChange("t1", 12, T1)], version=12, now_s=0.0)
    assert availability(directory, T1) == Leaving(T1.incarnation)
    assert "t1" in names(directory)
    assert T1 not in directory.available("payouts", turn=Turn.OTHER, now_s=0.0)


def test_a_target_that_said_it_leaves_is_available_when_its_entry_returns(directory):
    directory.record_leaving(T1)
    directory.apply([TargetChange("t1", 12, None)], version=12, now_s=0.0)
    assert availability(directory, T1) == Leaving(T1.incarnation)
    directory.apply([TargetChange("t1", 13, T1)], version=13, now_s=0.0)
    assert directory.available("payouts", turn=Turn.OTHER, now_s=0.0) == (T2,)


def test_a_new_incarnation_of_a_target_that_said_it_leaves_gets_nothing(directory):
    directory.record_leaving(T1)
    restarted = replace(T1, incarnation=18)
    directory.apply([TargetChange("t1", 12, restarted)], version=12, now_s=0.0)
    assert availability(directory, restarted) == Available()
    # A late answer of the process that has been replaced.
    directory.record_leaving(T1)
    assert availability(directory, restarted) == Available()


def test_a_target_that_drains_and_said_it_leaves_is_probed(directory):
    draining = replace(T1, is_draining=True)
    directory.apply([TargetChange("t1", 12, draining)], version=12, now_s=0.0)
    assert availability(directory, T1) == Draining()
    assert directory.may_be_probed(T1, now_s=0.0)
    directory.record_leaving(T1)
    assert availability(directory, T1) == Leaving(T1.incarnation)
    assert not directory.may_be_probed(T1, now_s=0.0)


def test_a_paused_target_gets_requests_before_the_latest_end(directory):
    long, short = (
        pause_for(for_s, place=0.0, now_s=now_s) for for_s, now_s in [(3, 1), (1, 2)]
    )
    assert directory.record_pause(T1, long)
    assert not directory.record_pause(T1, short)
    urgent = Turn.URGENT_IDEMPOTENT
    assert availability(directory, T1, now_s=3.9, turn=urgent) == long
    assert availability(directory, T1, now_s=4.0, turn=urgent) == Available()
    assert availability(directory, T1, now_s=4.0) == long
    assert directory.available("payouts", turn=urgent, now_s=3.9) == (T2,)
    assert directory.pauses("payouts", turn=urgent, now_s=3.9) == (long,)
    assert not directory.may_be_probed(T1, now_s=3.9)
    assert directory.may_be_probed(T1, now_s=5.0)


def test_a_pause_ends_with_a_restart_or_a_read(directory):
    pause = pause_for(3.0, place=0.0, now_s=0.0)
    directory.record_pause(T1, pause)
    restarted = replace(T1, incarnation=18)
    directory.replace_all([TargetChange("t1", 12, restarted)], version=12, now_s=1.0)
    assert availability(directory, restarted, now_s=2.0) == pause


def test_the_requests_of_many_daemons_return_at_the_same_moment():
    rng = random.Random(7)
    pauses = [pause_for(2.0, place=rng.random(), now_s=0.0) for _ in range(100)]
    for turn in Turn:
        returns_s = sorted(pause.returns_s(turn) for pause in pauses)
        assert returns_s[0] >= 2.0
        most = max(
            sum(0 <= at_s - each < 0.01 for at_s in returns_s) for each in returns_s
        )
        assert most <= 10
    assert [turn_of(priority=p, is_idempotent=i) for p in (0, 1) for i in (1, 0)] == [
        *Turn
    ]
    first, last = pauses[0].returns_s(Turn(0)), pauses[0].returns_s(Turn(3))
    assert first < last <= 2.0 + MAX_RETURN_S


def directory_with(entry, **callbacks):
    directory = TargetDirectory(**callbacks)
    directory.replace_all([TargetChange(entry.name, 4, entry)], version=9, now_s=0.0)
    return directory


@pytest.mark.parametrize(
    "entry",
    [replace(T1, incarnation=18), replace(T1, name="t9", incarnation=18)],
    ids=["same-name", "same-address"],
)
@pytest.mark.parametrize("is_draining", [True, False])
def test_a_target_that_another_process_replaces_counts_as_alive(entry, is_draining):
    ended = []
    known = replace(T1, is_draining=is_draining)
    directory = directory_with(known, on_end=ended.append)
    directory.apply([TargetChange(entry.name, 12, entry)], version=12, now_s=1.0)
    directory.apply([TargetChange(entry.name, 13, entry)], version=13, now_s=2.0)
    assert ended == ([] if is_draining else [known])


def test_a_heartbeat_counts_as_an_end():
    ended = []
    directory = directory_with(replace(T1, warmup_s=2.0), on_end=ended.append)
    directory.apply([TargetChange("t1", 12, T1)], version=12, now_s=1.0)
    assert ended == []


@pytest.mark.parametrize("is_draining", [True, False])
def test_the_removal_of_a_target_that_announced_nothing_is_unknown(is_draining):
    removed = []
    known = replace(T1, is_draining=is_draining)
    directory = directory_with(known, on_removal=removed.append)
    removal = [TargetChange("t1", 12, None)]
    directory.apply(removal, version=12, now_s=1.0, removal_hold_s=2.0)
    assert removed == []
    directory.serving("payouts", now_s=3.5)
    assert removed == ([] if is_draining else [known])
