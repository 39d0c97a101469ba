"""Lets servers leave shortly before a daemon that was cut off joins its fleet again.

The daemon is restarted while it is partitioned from the store. The servers' entries are
removed, and the servers serve for some seconds more, as the pages say of some.
"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SERVERS = 32
LEAVING = 8
WORK_S = 0.22
STAYS_S = 6.0
DRAIN_S = 2.0
CONTACT_S = 3.0
ROUNDS = 8
INTERVAL_S = 0.05
LEAVES_BEFORE_S = 0.25
JOINING_ATTEMPTS = 3
LAST_PAUSE_S = 2.0
MAX_HEAL_DELAY_S = 1.0


class Case:
    """One play; ``gone`` holds the servers that left, and when their entries did."""

    def __init__(self, world):
        self._world = world
        self._attempts_s = []
        self._in_touch_s = 0.0
        self.gone = {}
        self.statuses = []
        world.store.on_call = self._record_attempt

    @property
    def _daemon(self):
        return self._world.daemons[0]

    def _record_attempt(self, name, target):
        if name != self._daemon.name or "table=dogwoodhook-daemons" not in target:
            return
        now_s = self._world.record.now_s()
        # An attempt to join makes several calls.
        if not self._attempts_s or now_s - self._attempts_s[-1] > 0.2:
            self._attempts_s.append(now_s)
            self._world.record.write(f"daemon={name} tries to join")

    async def restart(self, *, is_cut_off):
        """Restart the daemon; return shortly before it joins the fleet."""
        daemon, store = self._daemon, self._world.store
        await daemon.kill()
        self._attempts_s.clear()
        if is_cut_off:
            store.cut(daemon.name)
        await daemon.start()
        heal_delay_s = random.uniform(0, MAX_HEAL_DELAY_S)
        if is_cut_off:
            while len(self._attempts_s) < JOINING_ATTEMPTS:
                await asyncio.sleep(0.05)
            await asyncio.sleep(heal_delay_s)
            self._world.record.write(f"daemon={daemon.name} reaches the store again")
            store.cut_off.clear()
        self._in_touch_s = self._world.record.now_s() + CONTACT_S
        # The daemon tries to join again after this pause.
        await asyncio.sleep(LAST_PAUSE_S - LEAVES_BEFORE_S - heal_delay_s)

    async def remove_servers(self):
        """Remove the entries of some servers; they end later. Send requests."""
        listed = [each for each in self._world.servers if each not in self.gone]
        async with asyncio.TaskGroup() as group:
            for server in random.sample(listed, LEAVING):
                group.create_task(self._leave(server))
            ends_s = self._world.record.now_s() + STAYS_S + 1.0
            while self._world.record.now_s() < ends_s:
                group.create_task(self._send())
                await asyncio.sleep(INTERVAL_S)
        await self._world.add_servers("tilitys", LEAVING, work_s=WORK_S)

    async def _leave(self, server):
        record, name = self._world.record, server.name
        server.stop_beating()
        self.gone[server] = record.now_s()
        record.write(f"entry removed server={name}")
        await self._world.store.remove("servers", name)
        await asyncio.sleep(STAYS_S)
        record.write(f"end server={name}")
        server.end()

    async def _send(self):
        path = f"/payout/{random.randrange(10**6)}"
        _, status = await self._world.send(self._daemon, "POST", path, b"12")
        self.statuses.append(status)

    def late_arrivals(self):
        """Return the requests that a daemon in touch sent too late."""
        return sorted(
            (at_s, server.name, request.request_id)
            for server, removed_s in self.gone.items()
            for at_s, request in server.arrivals
            if at_s > max(removed_s + DRAIN_S, self._in_touch_s)
        )


async def play(world, has_trouble):
    """Return whether requests reached servers later than allowed."""
    await world.add_servers("tilitys", SERVERS, work_s=WORK_S)
    payout = standins.route("/payout/", "unsafe", backend="tilitys")
    await world.configure(1, {"payout": payout}, ["tilitys"])
    await world.add_daemons(4)
    await asyncio.sleep(CONTACT_S)
    case = Case(world)
    late = []
    for _ in range(ROUNDS):
        await case.restart(is_cut_off=has_trouble)
        await case.remove_servers()
        if late := case.late_arrivals():
            break
    for each in late:
        world.record.write("LATE at={:.3f} server={} id={}".format(*each))
    unanswered = sum(status not in (200, 503) for status in case.statuses)
    summary = (
        f"requests that reached a server later than drain after its entry was removed:"
        f" {len(late)} of {len(case.statuses)}; without an outcome: {unanswered}"
    )
    world.record.write(summary)
    print(summary)
    return bool(late)


if __name__ == "__main__":
    standins.main(play, FOLDER)
