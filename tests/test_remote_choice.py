"""Which requests leave their data centre while its targets are busy."""

import random
from dataclasses import replace

import pytest

from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.placement import DOUBTFUL_COST, Placement
from dogwoodhook.state.remote_choice import MAX_BODY_COST, REMOTE_COST, remote_cost
from dogwoodhook.state.suspicion import Suspicion
from dogwoodhook.state.target_directory import TargetEntry

SLOTS = 4
HERE = TargetEntry("here", "uploads", "10.0.0.1", 80, "oulu-1", SLOTS, False, 0.0, 1)
AWAY = replace(HERE, name="away", host="10.0.0.2", data_centre="oulu-2")
LATENCIES = {"usual_s": 0.3, "target_latency_s": 2.7}


@pytest.fixture
def placement():
    return Placement(
        Suspicion(daemon="vm-1", rng=random.Random(7)),
        FleetLoad(),
        data_centre="oulu-1",
        rng=random.Random(7),
        has_idle_connection=lambda target: True,
        has_joined_recently=lambda name, now_s: False,
    )


def first_to_leave(placement, body_bytes):
    """Return how many requests are in flight here when one of a size leaves."""
    for in_flight in range(8 * SLOTS):
        candidate = placement.choose(
            [HERE, AWAY],
            tried=frozenset(),
            is_idempotent=False,
            now_s=0.0,
            cost_elsewhere=remote_cost(body_bytes=body_bytes, **LATENCIES),
        )
        if candidate.is_elsewhere:
            return in_flight
        placement.start(HERE, now_s=0.0)
    return None


def test_nothing_leaves_while_a_slot_is_free_and_large_bodies_leave_last(placement):
    small = first_to_leave(placement, 300)
    assert small >= SLOTS
    for _ in range(small):
        placement.finish(HERE)
    large = first_to_leave(placement, 60_000)
    assert small < large <= 3 * SLOTS


def test_a_large_body_leaves_at_once_if_waiting_would_make_it_late():
    cost = remote_cost(body_bytes=60_000, usual_s=1.4, target_latency_s=2.7)
    assert cost == REMOTE_COST


def test_a_body_never_outweighs_a_doubtful_target():
    assert REMOTE_COST + MAX_BODY_COST < DOUBTFUL_COST
