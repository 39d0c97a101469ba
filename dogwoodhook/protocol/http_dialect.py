"""Names of the HTTP headers that a deployment agrees on.

``HttpDialect`` says under which names the daemon finds a request's id and
deadline, and how a target declares that it did not run a request. Two dialects
exist: the project's own, in ``protocol.headers``, and the one that a platform
adapter brings.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpDialect:
    """Header names, and the answers that say a request was not run.

    ``request_id`` is echoed by targets. ``remaining_ms`` is the time left until
    the caller gives up. ``expected_target`` names the target that a request is
    for; another one refuses it. ``signature`` is on every answer that a target
    made itself. ``not_run`` on an answer, or a status among
    ``not_run_statuses``, says that the target did not run the request.
    """

    request_id: str
    remaining_ms: str
    expected_target: str
    signature: str
    not_run: str
    not_run_statuses: frozenset[int]

    def says_not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Tell whether an answer declares that the request was not run."""
        return status in self.not_run_statuses or self.not_run in headers
