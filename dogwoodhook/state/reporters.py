"""The peers that recently reported evidence about a service."""

RETENTION_S = 3600.0


class Reporters:
    """Peers by name, each removed an hour after its last report.

    VMs are replaced all the time, so the names of removed ones must not accumulate.
    """

    def __init__(self) -> None:
        self._received_at_s: dict[str, float] = {}

    def record_report(self, reporter: str, *, now_s: float) -> tuple[str, ...]:
        """Record a report by a peer; return the names removed because of their age."""
        is_new = reporter not in self._received_at_s
        self._received_at_s[reporter] = now_s
        if not is_new:
            return ()
        expired = tuple(
            name
            for name, received_at_s in self._received_at_s.items()
            if now_s - received_at_s > RETENTION_S
        )
        for name in expired:
            del self._received_at_s[name]
        return expired

    def __len__(self) -> int:
        return len(self._received_at_s)
