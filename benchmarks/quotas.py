"""Messages that quotas of workspaces cost, by the number of daemons.

python -m benchmarks.quotas
"""

import asyncio
from functools import lru_cache

from dogwoodhook.coordination import quota_sharing
from dogwoodhook.state.workspace_quota import coordinators_of
from tests import virtual_time
from tests.quota_fleet import QuotaFleet, bound_of, quota

FLEET_SIZES = (32, 126, 2010)
WORKSPACES = 84
SKEW = 1.2
REQUESTS_PER_DAEMON_PER_S = 4.9
QUOTA_FACTOR = 1.6
HOT_FACTOR = 5.0
SECONDS = 6.0


def run(daemons: int, loss: float) -> tuple[QuotaFleet, int, int]:
    """Play a load in which the largest workspace sends several times its usual."""
    weights = [rank**-SKEW for rank in range(1, WORKSPACES + 1)]
    scale = REQUESTS_PER_DAEMON_PER_S * daemons / sum(weights)
    usual = {f"w-{rank}": each * scale for rank, each in enumerate(weights)}
    policies = [
        quota(name, rate_per_s=QUOTA_FACTOR * rate, burst=QUOTA_FACTOR * rate)
        for name, rate in usual.items()
    ]

    async def work() -> QuotaFleet:
        fleet = QuotaFleet(daemons, *policies, loss=loss, counts_bytes=True)
        names = frozenset(fleet.names)
        # All daemons of the model have the same view.
        quota_sharing.coordinators_of = lru_cache(None)(
            lambda workspace, _: coordinators_of(workspace, names)
        )
        await asyncio.gather(
            *(
                fleet.load(
                    rate * (HOT_FACTOR if name == "w-0" else 1.0),
                    for_s=SECONDS,
                    workspace=name,
                )
                for name, rate in usual.items()
            )
        )
        return fleet

    fleet = virtual_time.run(work)
    most = max(fleet.most_in_window(each.name) / bound_of(each) for each in policies)
    assert most <= 1, "a quota was exceeded"
    below = sum(len(each) for name, each in fleet.refusals.items() if name != "w-0")
    return fleet, below, sum(len(each) for each in fleet.sent_s.values())


def main() -> None:
    """Print a line for each number of daemons and each loss."""
    for daemons in FLEET_SIZES:
        for loss in (0.0, 0.025, 0.3):
            fleet, below, sent = run(daemons, loss)
            per_daemon_s = daemons * SECONDS
            datagrams = sum(fleet.datagrams.values())
            print(
                f"{daemons} daemons, loss {loss}: "
                f"{datagrams / per_daemon_s:.1f} datagrams/s and "
                f"{fleet.bytes / per_daemon_s:.0f} B/s sent by each daemon, "
                f"{dict(fleet.datagrams)}, {sent} requests sent, "
                f"{below} refused below the limit"
            )


if __name__ == "__main__":
    main()
