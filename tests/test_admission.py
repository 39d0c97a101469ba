from random import Random

from dogwoodhook.state.admission import (
    Granted,
    Queued,
    Rejected,
    ServiceDispatcher,
    Ticket,
)
from dogwoodhook.state.health import ServiceHealth, TargetPhase
from dogwoodhook.state.model import Parameters, Service, Target
from dogwoodhook.state.outcomes import Failure, FailureKind, NotRunReason, Success


def make_dispatcher(targets=2, excluded=(), **parameters):
    service = Service(
        name="balances",
        workspace="oulu",
        parameters=Parameters(**parameters),
        targets=tuple(
            Target(f"t{number}", "oulu-1", "127.0.0.1", 20000 + number)
            for number in range(targets)
        ),
        routes=(),
    )
    health = ServiceHealth(
        "balances",
        [target.name for target in service.targets],
        false_ejection_interval_s=86_400.0,
    )
    return ServiceDispatcher(
        service,
        health,
        data_centre="oulu-1",
        rng=Random(1),
        exclusions=lambda: frozenset(excluded),
    )


def make_ticket(number, workspace="oulu", **values):
    return Ticket(number, workspace, is_idempotent=True, **values)


def test_requests_over_the_limits_wait_and_workspaces_take_turns():
    dispatcher = make_dispatcher(targets=1, slots_per_target=1)
    first = dispatcher.submit(make_ticket(1, "greedy"), now_s=0.0)
    waiting = [
        dispatcher.submit(make_ticket(number, "greedy"), now_s=0.0) for number in (2, 3)
    ]
    waiting.append(dispatcher.submit(make_ticket(4, "small"), now_s=0.0))
    assert all(isinstance(each, Queued) for each in waiting)
    order = []
    while isinstance(first, Granted):
        dispatcher.finish(first)
        grants = dispatcher.grant_queued(now_s=0.0)
        first = grants[0] if grants else None
        order += [granted.ticket.number for granted in grants]
    assert order == [2, 4, 3]


def test_a_request_is_refused_when_the_queue_is_full():
    dispatcher = make_dispatcher(targets=1, slots_per_target=1, workspace_queue_limit=1)
    for number in (1, 2):
        dispatcher.submit(make_ticket(number), now_s=0.0)
    refused = dispatcher.submit(make_ticket(3), now_s=0.0)
    assert refused == Rejected(make_ticket(3), NotRunReason.QUEUE_FULL)


def test_excluded_targets_get_no_request_even_as_a_last_resort():
    dispatcher = make_dispatcher(targets=1, excluded=["t0"])
    refused = dispatcher.submit(make_ticket(1), now_s=0.0)
    assert refused == Rejected(make_ticket(1), NotRunReason.NO_TARGET)


def test_a_suspect_gets_a_request_only_as_a_last_resort():
    dispatcher = make_dispatcher(targets=2, slots_per_target=1)
    for fingerprint in range(200):
        dispatcher.health.observe(
            "t0", Failure(FailureKind.CRASH, fingerprint), now_s=fingerprint * 0.01
        )
    first = dispatcher.submit(make_ticket(1), now_s=2.0)
    assert isinstance(first, Granted)
    assert first.target.name == "t1"
    second = dispatcher.submit(make_ticket(2), now_s=2.0)
    assert isinstance(second, Queued)
    last_resort = dispatcher.expire(make_ticket(2), now_s=3.0)
    assert isinstance(last_resort, Granted)
    assert last_resort.target.name == "t0"


def test_a_shed_lowers_the_limit_and_delays_the_next_request():
    dispatcher = make_dispatcher(targets=1)
    granted = dispatcher.submit(make_ticket(1), now_s=0.0)
    dispatcher.finish(granted)
    for _ in range(20):
        dispatcher.record_shed("t0", now_s=10.0)
    assert isinstance(dispatcher.submit(make_ticket(2), now_s=10.0), Queued)
    assert dispatcher.grant_queued(now_s=11.0)


def test_requests_in_flight_to_a_removed_target_count_until_they_end():
    dispatcher = make_dispatcher(targets=2)
    granted = [dispatcher.submit(make_ticket(number), now_s=0.0) for number in (1, 2)]
    smaller = make_dispatcher(targets=1).service
    dispatcher.reconfigure(smaller)
    for each in granted:
        dispatcher.finish(each)
    assert dispatcher.in_flight == 0


def test_a_shed_request_is_granted_before_later_ones():
    dispatcher = make_dispatcher(targets=1, slots_per_target=1)
    first = dispatcher.submit(make_ticket(1), now_s=0.0)
    dispatcher.submit(make_ticket(2), now_s=0.0)
    dispatcher.finish(first)
    dispatcher.record_shed("t0", now_s=0.0)
    dispatcher.submit(make_ticket(3, is_requeued=True), now_s=0.0)
    granted = dispatcher.grant_queued(now_s=1.0)
    assert [each.ticket.number for each in granted] == [3]


def test_every_free_target_is_granted_at_once():
    dispatcher = make_dispatcher(targets=2, slots_per_target=1)
    held = [dispatcher.submit(make_ticket(number), now_s=0.0) for number in (1, 2)]
    for number in (3, 4):
        dispatcher.submit(make_ticket(number), now_s=0.0)
    for each in held:
        dispatcher.finish(each)
    assert len(dispatcher.grant_queued(now_s=0.0)) == 2


def test_wait_timeouts_are_short_while_a_queue_is_standing():
    dispatcher = make_dispatcher(targets=1, slots_per_target=1, queue_timeout_ms=1000)
    held = dispatcher.submit(make_ticket(1), now_s=0.0)
    dispatcher.submit(make_ticket(2), now_s=0.0)
    assert dispatcher.wait_timeout_s("oulu", now_s=0.2) == 1.0
    assert dispatcher.wait_timeout_s("oulu", now_s=0.5) < 0.5
    assert dispatcher.wait_timeout_s("other", now_s=0.5) == 1.0
    dispatcher.finish(held)
    dispatcher.grant_queued(now_s=0.6)
    assert dispatcher.wait_timeout_s("oulu", now_s=0.7) == 1.0


def test_a_contended_slot_is_left_to_other_daemons():
    dispatcher = make_dispatcher(targets=1, slots_per_target=1)
    dispatcher.record_shed("t0", now_s=0.0)
    granted = dispatcher.submit(make_ticket(1), now_s=0.5)
    dispatcher.record_answer("t0", now_s=0.6)
    dispatcher.finish(granted)
    assert isinstance(dispatcher.submit(make_ticket(2), now_s=0.605), Queued)
    assert dispatcher.grant_queued(now_s=0.62)


def make_probing(dispatcher, target):
    """Bring a target through suspect to probing; return the time in seconds."""
    for _ in range(60):
        dispatcher.health.observe("t1", Success(1.0), now_s=0.0)
        dispatcher.health.observe(target, Failure(FailureKind.CONNECT), now_s=0.0)
    for now_s in range(60):
        if dispatcher.health.is_probe_due(target, now_s=now_s):
            dispatcher.health.observe_probe(target, is_successful=True, now_s=now_s)
            break
    assert dispatcher.health.status(target, now_s=now_s).phase is TargetPhase.PROBING
    return now_s


def test_a_probing_target_is_granted_at_once_if_it_is_the_only_one():
    dispatcher = make_dispatcher(targets=2, excluded=["t1"])
    now_s = make_probing(dispatcher, "t0")
    admission = dispatcher.submit(Ticket(1, "oulu", is_idempotent=False), now_s=now_s)
    assert isinstance(admission, Granted)


def test_a_request_waits_for_a_healthy_target_rather_than_a_probing_one():
    dispatcher = make_dispatcher(targets=2, slots_per_target=1)
    now_s = make_probing(dispatcher, "t0")
    first = dispatcher.submit(Ticket(1, "oulu", is_idempotent=False), now_s=now_s)
    assert first.target.name == "t1"
    second = dispatcher.submit(Ticket(2, "oulu", is_idempotent=False), now_s=now_s)
    assert isinstance(second, Queued)
