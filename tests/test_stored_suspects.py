"""Which suspects a daemon writes to the store."""

import itertools

import pytest

from dogwoodhook.state.quarantine import SUSPICION_S, Crash, SuspectState
from dogwoodhook.state.stored_suspects import (
    MAX_ROWS,
    MAX_SUSPECTS,
    StoredSuspects,
    row_key,
)

OWN, OTHER = "vm-1", "vm-2"


def suspect(fingerprint="f", *crashes, **changes):
    """Return a suspect; the crashes are the daemons that saw them, the latest first."""
    return SuspectState(
        "payouts",
        fingerprint,
        tuple(
            Crash(f"t{len(crashes) - number}", daemon, float(number))
            for number, daemon in enumerate(crashes)
        ),
        **changes,
    )


def take(rows, *known, now_s=1.0):
    return rows.take(known, now_s=now_s)


def stored(*crashes):
    """Return the rows of a daemon that has stored a suspect with these crashes."""
    rows = StoredSuspects(daemon=OWN)
    rows.record_end("f")
    take(rows, suspect("f", *crashes))
    return rows


def same_row():
    """Return fingerprints whose suspects share a row."""
    names = (f"f{number}" for number in itertools.count())
    return (each for each in names if row_key(each) == row_key("f"))


def test_a_suspect_under_which_fewer_targets_ended_replaces_another_one():
    names = same_row()
    many = [suspect(next(names), OWN, OTHER) for _ in range(MAX_SUSPECTS)]
    few = suspect(next(names), OWN)
    rows = StoredSuspects(daemon=OWN)
    rows.record_end(few.fingerprint)
    assert take(rows, few, *many) == {row_key("f"): tuple(many)}


def test_a_neighbour_with_as_many_ends_replaces_a_suspect():
    first, second, *_ = itertools.islice(same_row(), 2)
    suspects = suspect(first, OWN), suspect(second, OWN)
    rows = StoredSuspects(daemon=OWN)
    rows.record_end(first)
    assert take(rows, *suspects) == {row_key("f"): suspects}


def test_an_end_is_written_by_daemons_that_did_not_see_it():
    rows = StoredSuspects(daemon=OWN)
    rows.record_end("g")
    assert take(rows, suspect("f", OTHER), suspect("g", OTHER)) == {}


def test_the_writes_of_suspects_grow_with_their_number():
    rows = StoredSuspects(daemon=OWN)
    known = [suspect(f"f{number}", OWN) for number in range(3000)]
    for each in known:
        rows.record_end(each.fingerprint)
    assert len(take(rows, *known)) == MAX_ROWS
    assert take(rows, *known) == {}


@pytest.mark.parametrize(
    "known",
    [
        (),
        (SuspectState("", "f", cleared_age_s=0.1),),
        (suspect("f", OTHER),),
    ],
)
def test_the_row_of_a_request_that_was_cleared_stays(known):
    rows = stored(OWN, OTHER)
    taken = take(rows, *known)
    remaining = tuple(each for each in known if each.crashes)
    assert taken == {row_key("f"): remaining}


def test_a_row_that_its_suspect_left_keeps_no_other_one():
    names = same_row()
    first, other = suspect(next(names), OWN, OWN), suspect(next(names), OTHER)
    rows = StoredSuspects(daemon=OWN)
    rows.record_end(first.fingerprint)
    assert take(rows, first, other) == {row_key("f"): (first, other)}
    assert take(rows, other) == {row_key("f"): (other,)}


def test_rows_of_suspects_in_quarantine_are_written_again():
    rows = stored(OWN, OTHER)
    assert take(rows, suspect("f", quarantines=1)) == {}
    assert take(rows) == {}


def test_a_row_is_written_once_its_suspicion_has_expired():
    rows = stored(OWN)
    assert take(rows, now_s=1.0 + SUSPICION_S) == {}
    assert not rows.has_stored


def test_an_earlier_end_that_is_reported_late_is_not_stored():
    rows = StoredSuspects(daemon=OWN)
    rows.record_end("f")
    latest = Crash("t2", OWN, 1.0)
    take(rows, SuspectState("payouts", "f", (latest,)))
    both = SuspectState("payouts", "f", (Crash("t1", OTHER, 5.0), latest))
    assert take(rows, both) == {row_key("f"): (both,)}


def test_every_daemon_writes_again_what_another_one_has_added():
    rows = stored(OWN)
    both = SuspectState("payouts", "f", (Crash("t1", OWN, 5.0), Crash("t2", OTHER, 0)))
    assert take(rows, both) == {}


def test_rows_that_could_not_be_written_are_forgotten():
    rows = StoredSuspects(daemon=OWN)
    rows.record_end("f")
    known = suspect("f", OWN)
    rows.put_back(take(rows, known))
    assert rows.is_due
    assert take(rows, known) == {row_key("f"): (known,)}


def test_a_request_of_any_caller_is_stored_after_its_first_caller():
    rows = StoredSuspects(daemon=OWN)
    rows.record_end("f")
    one = suspect("f", OWN, is_of_any_caller=True, callers=("a",))
    assert take(rows, one) == {}
    rows.record_end("f")
    two = suspect("f", OWN, is_of_any_caller=True, callers=("a", "b"))
    assert take(rows, two) == {row_key("f"): (two,)}
