"""How much busier the own data centre may be before a request goes to another one.

Targets of another data centre are a few milliseconds away, and whatever is sent there
crosses links that are paid by the byte. A request therefore stays while the own data
centre can begin it at once. Beyond that a small one goes to where a slot is free. One
with a large body waits in a queue of the own data centre as long as it can still be
answered well within its target latency: large bodies leave last.

Designed for: demand that rises and falls in each data centre with a phase of its own,
numbers of targets that differ by a fifth, uploads of 60 kB with work of 0.3 s and a
target latency of 2.7 s.
"""

REMOTE_COST = 3.0
"""Requests in flight by which a target of the own data centre may be busier than one
of another data centre before the latter is chosen: the usual number of slots."""

LARGE_BODY_BYTES = 16 * 1024
"""Size from which a body counts as large: ten times an ordinary answer."""

BODY_COST_BYTES = 24 * 1024
"""Size of a body that costs as much as one more request in flight."""

MAX_BODY_COST = 2.5
"""Largest cost of a body. With it, a doubtful target of the own data centre still
ranks behind a sound one elsewhere."""

WAIT_SHARE = 0.5
"""Share of the target latency that the work may take with the wait before it."""


def remote_cost(*, body_bytes: int, usual_s: float, target_latency_s: float) -> float:
    """Return the cost of another data centre, in requests in flight.

    ``usual_s`` is the usual time of the work. A target whose slots are all taken begins
    a request after about ``usual_s / REMOTE_COST`` for each one in flight beyond them.

    >>> remote_cost(body_bytes=300, usual_s=0.3, target_latency_s=2.7)
    3.0
    >>> remote_cost(body_bytes=60_000, usual_s=0.3, target_latency_s=2.7)
    5.44140625
    >>> remote_cost(body_bytes=60_000, usual_s=1.5, target_latency_s=2.7)
    3.0
    """
    if body_bytes < LARGE_BODY_BYTES or usual_s <= 0:
        return REMOTE_COST
    spare_s = max(0.0, WAIT_SHARE * target_latency_s - usual_s)
    longest_queue = spare_s * REMOTE_COST / usual_s
    body_cost = min(MAX_BODY_COST, body_bytes / BODY_COST_BYTES)
    return REMOTE_COST + min(body_cost, longest_queue)
