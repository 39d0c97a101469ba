"""One tenant sends many times its usual; afterwards all send as before."""

import asyncio
import itertools
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as standins

HOST = "hulo84.example"
SERVICE = "wuno96b"
ROUTE_TIMEOUT_S = 8.0
DEADLINE_MS = 15_356
USUAL_PER_S = 50.0
"""Requests a second of the tenant that becomes hot, before and after."""

OTHER_PER_S = 100.0
"""Requests a second of the other tenant."""

HOT_X, HOT_FOR_S, HOT_TIMES, HOT_GAP_S = 7.5, 6.5, 6, 1.0
"""The largest dose of the site file: 7.5 times the usual for 6.5 s; it may come more
than once."""

QUOTA_X = 1.6
"""Quota of a tenant over its usual, as in the site file."""

BODY_BYTES = (6_000, 24_000)
"""Bodies of ``billing-actions``: 4,000 in the mean and 24,000 at most in the site
file."""

WARM_S, CALM_S, MEASURED_S = 3.0, 6.0, 6.0

CONFIGURATION = {
    "configVersion": 7,
    "routes": {
        "r-billing": {
            "hostname": HOST,
            "prefix": "/xapu221/",
            "routeType": "unsafe",
            "timeout": "8000ms",
            "targetLatency": "5118ms",
            "priority": 2,
            "backend": SERVICE,
            "attempts": 2,
            "public": False,
        }
    },
    "backends": {SERVICE: {"healthPath": "/healthz", "maxConnections": 1680}},
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
    "tenants": {
        "hot": {
            "apiKeys": ["hotkey0000000000"],
            "priority": 1,
            "ratePerS": QUOTA_X * USUAL_PER_S,
            "burst": QUOTA_X * USUAL_PER_S,
        },
        "other": {
            "apiKeys": ["otherkey00000000"],
            "priority": 1,
            "ratePerS": QUOTA_X * OTHER_PER_S,
            "burst": QUOTA_X * OTHER_PER_S,
        },
    },
}
KEYS = {"hot": "hotkey0000000000", "other": "otherkey00000000"}


class Load:
    """Sends the requests of tenants, each on a new connection."""

    def __init__(self, daemons, record) -> None:
        self.sent: list[standins.Sent] = []
        self._daemons, self._record = daemons, record
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._rng = random.Random(7)

    async def run(self, tenant: str, per_s: float, for_s: float) -> None:
        """Send a tenant's requests at an even rate."""
        started_s = time.monotonic()
        for number in range(int(per_s * for_s)):
            due_s = started_s + number / per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            self._start(tenant)

    def _start(self, tenant: str) -> None:
        request_id = f"{tenant}-{next(self._numbers):06d}"
        daemon = self._rng.choice(self._daemons)
        body = b"b" * self._rng.randint(*BODY_BYTES)
        request = standins.request_bytes(
            "POST",
            "/xapu221/2f",
            HOST,
            request_id,
            deadline_ms=DEADLINE_MS,
            body=body,
            Api_Key=KEYS[tenant],
        )
        sent = standins.Sent(request_id, tenant, daemon.name, time.monotonic())
        self.sent.append(sent)
        task = asyncio.create_task(
            standins.send_fresh(
                daemon,
                sent,
                request,
                deadline_s=DEADLINE_MS / 1000,
                record=self._record,
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel what is still sent."""
        for task in self._tasks:
            task.cancel()


def endings(sent) -> dict:
    """Count requests by their endings."""
    return dict(Counter(str(each.status or each.ending) for each in sent))


async def case(files: Path, record: standins.Record) -> int:
    """Start the deployment, and play the case."""
    store = standins.Store()
    await store.start()
    store.put("op", "config", CONFIGURATION)
    servers = [
        standins.Server(store, record, SERVICE, zone="zone-a", slots=6, work_s=0.05)
        for _ in range(6)
    ]
    for server in servers:
        await server.start()
    daemons = [
        standins.Daemon(
            store,
            files,
            f"edge-{number}",
            limits__memoryMb="200",
            contracts="base,drain,config,cost,retry,recover,health,pool,tenants,quota,"
            "pressure,platform",
            bounds__drain="2500ms",
            bounds__config="2500ms",
            bounds__revoke="5000ms",
            bounds__quotaWindow="5s",
            bounds__quotaOvershoot="0.1",
            bounds__quotaSlack="20",
        )
        for number in range(2)
    ]
    load = Load(daemons, record)
    try:
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            await daemon.wait_until_ready()
        # Daemons that have just started grant little of a quota.
        await asyncio.sleep(6.0)
        return await play(load, daemons, record)
    finally:
        load.cancel()
        for daemon in daemons:
            daemon.kill()
        for server in servers:
            server.close()
        store.close()


async def play(load: Load, daemons, record: standins.Record) -> int:
    """Let one tenant send more than its quota, and judge what follows."""
    hot_x = HOT_X if standins.has_trouble() else 1.0
    await asyncio.gather(
        load.run("hot", USUAL_PER_S, WARM_S), load.run("other", OTHER_PER_S, WARM_S)
    )
    for _ in range(HOT_TIMES):
        record.say(f"the hot tenant sends {hot_x} times its usual for {HOT_FOR_S} s")
        await asyncio.gather(
            load.run("hot", USUAL_PER_S * hot_x, HOT_FOR_S),
            load.run("other", OTHER_PER_S, HOT_FOR_S),
        )
        await asyncio.gather(
            load.run("hot", USUAL_PER_S, HOT_GAP_S),
            load.run("other", OTHER_PER_S, HOT_GAP_S),
        )
    record.say("all tenants send as usual again")
    await asyncio.gather(
        load.run("hot", USUAL_PER_S, CALM_S), load.run("other", OTHER_PER_S, CALM_S)
    )
    measured_from_s = time.monotonic()
    await asyncio.gather(
        load.run("hot", USUAL_PER_S, MEASURED_S),
        load.run("other", OTHER_PER_S, MEASURED_S),
    )
    await asyncio.sleep(ROUTE_TIMEOUT_S + 1.0)
    return judge(
        load,
        daemons,
        measured_from_s,
        record,
        [await each.is_ready() for each in daemons],
    )


def judge(load, daemons, measured_from_s, record, ready) -> int:
    """Check CONFIG over what was sent from ``measured_from_s`` on."""
    measured = [each for each in load.sent if each.sent_s >= measured_from_s]
    now_s = time.monotonic()
    open_at_timeout = [
        each
        for each in measured
        if (each.ended_s or now_s) - each.sent_s >= ROUTE_TIMEOUT_S
    ]
    late = [
        each
        for each in open_at_timeout
        if (each.ended_s or now_s) - each.sent_s > ROUTE_TIMEOUT_S + 0.5
    ]
    record.say("before:", endings(e for e in load.sent if e.sent_s < measured_from_s))
    for daemon, is_ready in zip(daemons, ready, strict=True):
        own = [each for each in measured if each.daemon == daemon.name]
        record.say(
            f"{daemon.name}: readyz {is_ready}, ended {daemon.has_ended}:",
            endings(own),
        )
    served = sum(each.status == 200 for each in measured)
    record.say(
        f"measured {len(measured)} requests at their usual rate, served {served};"
        f" {len(open_at_timeout)} unanswered at the route's timeout, {len(late)}"
        " of them still 0.5 s later"
    )
    if len(late) >= 8 and len(late) > len(open_at_timeout) / 2:
        record.say("CONFIG is broken")
        return standins.EXIT_BROKEN
    record.say("CONFIG holds")
    return standins.EXIT_HELD


if __name__ == "__main__":
    standins.main(case, Path(__file__).resolve().parent)
