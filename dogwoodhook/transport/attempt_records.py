"""What a daemon records of a request's attempt at a target."""

from dogwoodhook.events import EXTRA_ANSWER_DROPPED, log
from dogwoodhook.state.attempted_request import AttemptedRequest, TargetProcess
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.routed_request import RoutedRequest


def to_attempted_request(routed: RoutedRequest) -> AttemptedRequest:
    """Return a request as other daemons are told of it."""
    return AttemptedRequest(
        service=routed.service,
        identity=routed.identity,
        request_id=routed.request_id,
        caller=routed.caller,
    )


def to_process(target: TargetEntry) -> TargetProcess:
    """Return the process that a target's entry names."""
    return TargetProcess(target.name, target.incarnation)


def log_extra_answers(
    routed: RoutedRequest, target: TargetEntry, trace: AttemptTrace
) -> None:
    """Log how many answers to earlier requests were dropped before an attempt's own."""
    if not trace.extra_answers:
        return
    log(
        EXTRA_ANSWER_DROPPED,
        request=routed.request_id,
        target=target.name,
        address=target.address,
        **trace.use.log_fields(),
        count=trace.extra_answers,
    )
