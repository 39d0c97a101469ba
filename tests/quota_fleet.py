"""A fleet of daemons that share quotas, in virtual time and without sockets."""

import asyncio
import bisect
import random
from collections import Counter, defaultdict

from dogwoodhook.coordination.quota_sharing import QuotaSharing
from dogwoodhook.protocol.fleet_codec import encode_datagram
from dogwoodhook.state.workspace_policy import WorkspacePolicy
from dogwoodhook.state.workspace_quota import (
    FleetQuota,
    QuotaCoordinator,
    QuotaTaken,
    QuotaTolerance,
)
from tests.virtual_time import LoopClock

TOLERANCE = QuotaTolerance(window_s=5.0, overshoot=0.1, slack=20.0)
DELAY_S = (0.004, 0.045)
"""Least and longest time of a datagram: that between data centres, and a batch."""


def quota(name="ukara", *, rate_per_s, burst):
    return WorkspacePolicy(name, frozenset(), rate_per_s=rate_per_s, burst=burst)


class _Links:
    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name
        self._live = None, None

    def live_daemons(self):
        gone = frozenset(self._fleet.gone)
        if self._live[0] != gone:
            names = [each for each in self._fleet.names if each not in gone]
            self._live = (
                gone,
                {"oulu-1": [each for each in names if each != self._name]},
            )
        return self._live[1]

    def count_known_daemons(self):
        return len(self._fleet.names)

    def receive_pending(self):
        pass

    def notify(self, message, daemons):
        for each in daemons:
            self._fleet.transmit(self._name, each, message)


class QuotaFleet:
    """Daemons, the datagrams between them, and the requests that were let through.

    ``cut`` daemons are out of touch with all others, ``frozen`` ones get and send
    nothing until they are woken, ``gone`` ones are known to be gone.
    """

    def __init__(self, count, *policies, loss=0.0, seed=7, counts_bytes=False):
        self.rng = random.Random(seed)
        self.names = [f"vm-{number}" for number in range(count)]
        self.policies = {each.name: each for each in policies}
        self.loss = loss
        self.cut, self.frozen, self.gone = set(), set(), set()
        self.sent_s = defaultdict(list)
        self.refusals = defaultdict(list)
        self.datagrams = Counter()
        self.bytes = 0
        self._counts_bytes = counts_bytes
        self._held = defaultdict(list)
        self.sharing = {}
        for name in self.names:
            self._start(name, started_s=float("-inf"))

    def _start(self, name, *, started_s):
        self.sharing[name] = QuotaSharing(
            FleetQuota(TOLERANCE, rng=self.rng, started_s=started_s),
            QuotaCoordinator(TOLERANCE, rng=self.rng, started_s=started_s),
            _Links(self, name),
            LoopClock(),
            daemon=name,
            rng=self.rng,
            policies=lambda: self.policies,
        )

    def restart(self, name):
        """Start a daemon anew, which knows nothing."""
        self._start(name, started_s=asyncio.get_running_loop().time())

    def wake(self, name):
        self.frozen.discard(name)
        for sender, receiver, message in self._held.pop(name, ()):
            self.transmit(sender, receiver, message)

    def transmit(self, sender, receiver, message):
        self.datagrams[message.kind] += 1
        if self._counts_bytes:
            self.bytes += len(encode_datagram(message, key=b"secret"))
        for end in (sender, receiver):
            if end in self.frozen:
                self._held[end].append((sender, receiver, message))
                return
        if {sender, receiver} & (self.cut | self.gone):
            return
        if self.rng.random() < self.loss:
            return
        asyncio.get_running_loop().call_later(
            self.rng.uniform(*DELAY_S), self._deliver, sender, receiver, message
        )

    def _deliver(self, sender, receiver, message):
        if receiver in self.frozen:
            self._held[receiver].append((sender, receiver, message))
        elif not {sender, receiver} & (self.cut | self.gone):
            self.sharing[receiver].receive(message)

    async def request(self, workspace="ukara", *, runs=True, priority=1):
        """Send one request through a daemon; return when a refused one may return."""
        able = [name for name in self.names if name not in self.frozen | self.gone]
        sharing = self.sharing[self.rng.choice(able)]
        policy = self.policies[workspace]
        result = await sharing.take(policy, priority=priority)
        now_s = asyncio.get_running_loop().time()
        if not isinstance(result, QuotaTaken):
            self.refusals[workspace].append((now_s, result.retry_after_s))
            return result.retry_after_s
        if runs:
            self.sent_s[workspace].append(now_s)
        else:
            sharing.give_back(policy, result)
        return None

    async def load(self, rate_per_s, *, for_s, workspace="ukara", **options):
        """Send requests at random moments, at a rate."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + for_s
        tasks = []
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            if loop.time() >= ends_s:
                break
            tasks.append(asyncio.ensure_future(self.request(workspace, **options)))
        await asyncio.gather(*tasks)

    def most_in_window(self, workspace="ukara"):
        """Return the most requests that were let through in any window."""
        times_s = sorted(self.sent_s[workspace])
        return max(
            (
                bisect.bisect_right(times_s, start_s + TOLERANCE.window_s) - index
                for index, start_s in enumerate(times_s)
            ),
            default=0,
        )


def bound_of(policy):
    """Return the most requests in any window that the rule allows."""
    quota_in_window = policy.rate_per_s * TOLERANCE.window_s + policy.burst
    return quota_in_window + TOLERANCE.excess_of(policy)
