"""The loads that ``state.crowding`` answers, played on a virtual clock."""

import pytest

from benchmarks.crowding import (
    LOADS,
    MIN_WORST_TENTH,
    PRODUCT,
    REFUSING,
    Simulation,
    measure,
)

LONG, SHORT = LOADS[1], LOADS[2]


def test_callers_with_long_deadlines_are_served_instead_of_refused():
    product, refusing = measure(LONG, PRODUCT), measure(LONG, REFUSING)
    assert product.served_share > refusing.served_share
    assert product.goodput >= refusing.goodput
    assert product.sheds_per_request < refusing.sheds_per_request


@pytest.mark.parametrize("load", [LONG, SHORT], ids=["long", "short"])
def test_no_workspace_is_served_less_than_a_quarter_as_often_as_all(load):
    result = measure(load, PRODUCT)
    assert result.worst_tenth_share >= MIN_WORST_TENTH * result.served_share


def test_urgent_requests_are_served_at_least_as_often_as_the_others():
    result = measure(SHORT, PRODUCT)
    assert result.urgent_served_share >= result.other_served_share


def test_a_request_is_refused_before_its_deadline():
    simulation = Simulation(SHORT, PRODUCT)
    simulation.run()
    refused = [after_s for _, is_served, after_s in simulation.ended if not is_served]
    ended_late = [each for each in refused if each > SHORT.deadline_s]
    assert len(ended_late) < 0.05 * len(refused)
