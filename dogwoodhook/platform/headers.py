"""The platform's HTTP headers."""

from dogwoodhook.protocol.http_dialect import HttpDialect

PLATFORM_DIALECT = HttpDialect(
    request_id="Request-Id",
    remaining_ms="Deadline-Ms",
    expected_target="Expected-Instance",
    signature="Server-Signature",
    not_run="Not-Executed",
    not_run_statuses=frozenset({421}),
)
