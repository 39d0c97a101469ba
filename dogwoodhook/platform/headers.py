"""Names of the platform's HTTP headers."""

from dogwoodhook.protocol.http_conventions import HttpConventions

PLATFORM_CONVENTIONS = HttpConventions(
    request_id_header="Request-Id",
    remaining_ms_header="Deadline-Ms",
    expected_target_header="Expected-Instance",
    signature_header="Server-Signature",
    not_run_header="Not-Executed",
    not_run_statuses=frozenset({421}),
    leaving_header="Server-Leaving",
    key_header="Api-Key",
    workspace_header="Tenant-Id",
)

STORE_ERA_HEADER = "Store-Era"
"""Header of the store's answers with a number that rises by one each time that the
store comes back from a copy of its rows."""
