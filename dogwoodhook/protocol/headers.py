"""HTTP headers that callers, daemons and targets agree on.

A caller may name its workspace, bound the time it waits, and mark a request with
an idempotency key. A target declares a request it did not run. The daemon tells
the caller what became of the request::

    POST /timesheets HTTP/1.1
    Dogwoodhook-Workspace: kigali-institute
    Dogwoodhook-Timeout-Ms: 2500
    Idempotency-Key: 8e03978e-40d5-43dd-bc93-6894a57f9324

    HTTP/1.1 503 Service Unavailable
    Dogwoodhook-Outcome: not-run; reason=queue-full
"""

WORKSPACE_HEADER = "Dogwoodhook-Workspace"
"""Request header: the workspace on whose behalf the caller asks."""

TIMEOUT_HEADER = "Dogwoodhook-Timeout-Ms"
"""Request header: milliseconds left until the caller stops waiting.

The daemon passes on what remains of it, so that a target need not work on a
request whose caller has given up.
"""

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
"""Request header: requests with the same key run at most once between them."""

TARGET_HEADER = "Dogwoodhook-Target"
"""Answer header of a target, on status 503: the request was not run."""

TARGET_SHED = "shed"
"""Value of ``TARGET_HEADER``: the target has no capacity for this request."""

TARGET_DRAINING = "draining"
"""Value of ``TARGET_HEADER``: the target accepts no new requests any more."""

OUTCOME_HEADER = "Dogwoodhook-Outcome"
"""Answer header to the caller: ``answered``, ``not-run`` or ``unknown``.

The latter two carry a reason, as in ``not-run; reason=target-shed``.
"""
