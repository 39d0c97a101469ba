"""Which workspace a key admits, and when a daemon is too far behind to tell."""

from dataclasses import replace

import pytest

from dogwoodhook.state.workspace_access import (
    Admitted,
    ConfigurationAge,
    KeyProblem,
    Public,
    ReportedKeys,
    Unconfirmed,
    UnknownKey,
    access_by_key,
    confirmed_access,
)
from dogwoodhook.state.workspace_policy import (
    WorkspacePolicy,
    Workspaces,
    key_digest,
)

LAB = WorkspacePolicy("lab", frozenset({key_digest("lab-1"), key_digest("lab-2")}))
WARD = WorkspacePolicy("ward", frozenset({key_digest("ward-1")}))
WORKSPACES = Workspaces.of([LAB, WARD])
CURRENT = ConfigurationAge(
    age_s=0.5,
    is_newer_known=False,
    configuration_s=2.0,
    revoke_s=5.0,
    fails_closed=False,
)
UNKNOWN = UnknownKey(KeyProblem.UNKNOWN, "digest")


def access(*key_values, workspaces=WORKSPACES, is_public=False):
    return access_by_key(workspaces, is_public=is_public, key_values=key_values)


@pytest.mark.parametrize(
    ("key", "holder"), [("lab-1", LAB), ("lab-2", LAB), ("ward-1", WARD)]
)
def test_each_key_admits_for_its_holder(key, holder):
    assert access(key) == Admitted(holder)


@pytest.mark.parametrize(
    ("key_values", "problem"),
    [
        ([], KeyProblem.ABSENT),
        ([""], KeyProblem.EMPTY),
        (["lab-1", "lab-1"], KeyProblem.REPEATED),
        (["lab-1", "unknown"], KeyProblem.REPEATED),
        (["lab-1, ward-1"], KeyProblem.UNKNOWN),
        (["LAB-1"], KeyProblem.UNKNOWN),
    ],
)
def test_anything_but_one_known_key_is_refused(key_values, problem):
    found = access(*key_values)
    assert isinstance(found, UnknownKey)
    assert found.problem is problem


def test_the_label_of_an_unknown_key_contains_none_of_it():
    found = access("secret")
    assert key_digest("secret").hex().startswith(found.digest_label)
    assert "secret" not in repr(found)


@pytest.mark.parametrize("key_values", [[], ["lab-1"], ["unknown", "lab-1"]])
def test_without_workspaces_or_on_a_public_route_no_key_is_needed(key_values):
    assert access(*key_values, workspaces=None) == Public()
    assert access(*key_values, is_public=True) == Public()


def test_a_configuration_with_no_workspace_admits_no_key():
    assert isinstance(access("lab-1", workspaces=Workspaces.of([])), UnknownKey)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, UNKNOWN),
        ({"age_s": 2.0}, UNKNOWN),
        ({"age_s": 2.1}, Unconfirmed()),
        ({"is_newer_known": True}, Unconfirmed()),
    ],
)
def test_a_key_that_a_newer_version_may_hold_is_not_denied(changes, expected):
    assert confirmed_access(UNKNOWN, replace(CURRENT, **changes)) == expected


@pytest.mark.parametrize(
    ("age_s", "fails_closed", "expected"),
    [
        (5.0, True, Admitted(LAB)),
        (5.1, True, Unconfirmed(LAB)),
        (3600.0, False, Admitted(LAB)),
    ],
)
def test_a_key_that_may_be_withdrawn_is_served_unless_the_daemon_fails_closed(
    age_s, fails_closed, expected
):
    age = replace(CURRENT, age_s=age_s, fails_closed=fails_closed)
    assert confirmed_access(Admitted(LAB), age) == expected


def test_a_public_request_is_served_however_old_the_configuration_is():
    age = replace(CURRENT, age_s=3600.0, fails_closed=True, is_newer_known=True)
    assert confirmed_access(Public(), age) == Public()


def test_logged_keys_are_bounded_in_an_interval():
    reported = ReportedKeys(limit=3, interval_s=60.0)
    labels = [str(number) for number in range(100)] * 2
    assert sum(reported.is_new(label, now_s=1.0) for label in labels) == 3
    assert sum(reported.is_new(label, now_s=61.0) for label in labels) == 3
