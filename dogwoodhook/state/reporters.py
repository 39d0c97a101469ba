"""The peers that lately told evidence about a service."""

RETENTION_S = 3600.0


class Reporters:
    """Peers by name, each forgotten an hour after it was last heard.

    VMs are replaced all the time, so names that are gone must not pile up.
    """

    def __init__(self) -> None:
        self._received_at_s: dict[str, float] = {}

    def record(self, reporter: str, *, now_s: float) -> tuple[str, ...]:
        """Note a peer and return the names forgotten because of their age."""
        is_new = reporter not in self._received_at_s
        self._received_at_s[reporter] = now_s
        if not is_new:
            return ()
        forgotten = tuple(
            name
            for name, received_at_s in self._received_at_s.items()
            if now_s - received_at_s > RETENTION_S
        )
        for name in forgotten:
            del self._received_at_s[name]
        return forgotten

    def __len__(self) -> int:
        return len(self._received_at_s)
