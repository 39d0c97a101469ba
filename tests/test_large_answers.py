"""Which routes have large answers, and how much of them is held."""

from dogwoodhook.state import large_answers
from dogwoodhook.state.large_answers import (
    LARGE_ROUTE_S,
    HeldBytes,
    LargeAnswerRoutes,
)


def test_more_bytes_are_held_than_allowed():
    held = HeldBytes(limit=10)
    assert held.try_take(10)
    assert not held.try_take(1)
    held.give_back(4)
    assert not held.try_take(5)
    assert held.try_take(4)
    assert held.taken == 10


def test_a_route_keeps_its_last_large_answer_for_ever():
    routes = LargeAnswerRoutes()
    routes.record("stock", now_s=1.0)
    assert routes.contains("stock", now_s=LARGE_ROUTE_S)
    assert not routes.contains("till", now_s=1.0)
    assert not routes.contains("stock", now_s=1.0 + LARGE_ROUTE_S)


def test_routes_with_large_answers_are_remembered_without_limit(monkeypatch):
    monkeypatch.setattr(large_answers, "MAX_ROUTES", 2)
    routes = LargeAnswerRoutes()
    for name in ("a", "b", "a", "c"):
        routes.record(name, now_s=1.0)
    known = [name for name in "abc" if routes.contains(name, now_s=1.0)]
    assert known == ["a", "c"]
