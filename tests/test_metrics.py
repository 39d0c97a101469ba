import itertools

from dogwoodhook.metrics import Metrics, max_series
from dogwoodhook.state.outcomes import NotRunReason, UnknownReason


def test_many_workspaces_and_services_do_not_make_many_series():
    metrics = Metrics(daemon="d", max_workspace_series=3, max_service_series=2)
    outcomes = ["answered", *NotRunReason, *UnknownReason]
    for number, request_class, outcome in itertools.product(
        range(20), ("idempotent", "non-idempotent"), outcomes
    ):
        metrics.record_request(
            service=f"service-{number}",
            workspace=f"workspace-{number}",
            request_class=request_class,
            outcome=outcome,
            duration_ms=5.0,
            target_ms=4.0,
            queueing_ms=1.0,
            retries=1,
        )
    lines = metrics.exposition().decode().splitlines()
    series = [line for line in lines if line.startswith("dogwoodhook_")]
    own = [line for line in series if "_created" not in line.split("{")[0]]
    assert 0 < len(own) <= max_series(services=2, workspaces=3)
