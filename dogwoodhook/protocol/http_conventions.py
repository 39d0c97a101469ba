"""HTTP conventions that the daemon shares with a platform's callers and targets.

``HttpConventions`` holds the names of the headers that carry a request's id and its
deadline, and how a target declares that it did not run a request. A platform
adapter supplies its own conventions; the project's own header names are in
``protocol.headers``.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpConventions:
    """Header names, and the answers that declare that a request was not run.

    A target echoes ``request_id_header``. ``remaining_ms_header`` carries the time
    in milliseconds until the caller stops waiting. ``expected_target_header`` names
    the target that a request is meant for; any other target refuses the request.
    ``signature_header`` is on every answer that a target produced itself. A target
    that did not run the request sets ``not_run_header`` on its answer, or answers
    with one of ``not_run_statuses``. A target that leaves sets ``leaving_header`` on
    all its answers. ``key_header`` carries the key of a request's workspace; a target
    is sent the workspace's name in ``workspace_header`` instead.
    """

    request_id_header: str
    remaining_ms_header: str
    expected_target_header: str
    signature_header: str
    not_run_header: str
    not_run_statuses: frozenset[int]
    leaving_header: str
    key_header: str
    workspace_header: str

    def declares_not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether an answer declares that the request was not run."""
        return status in self.not_run_statuses or self.not_run_header in headers
