"""Targets that end while they are listed, and others that start at their addresses."""

import asyncio
import random

from tests.platform_adapter.soak.world import World

MAX_INTERVAL_S = 1.5
MAX_ALONE_S = 1.0
"""Longest time until an additional target ends."""

LISTED_S = (2.0, 6.0)
"""Shortest and longest time for which a target that has ended stays listed."""

MAX_SUCCESSORS = 3

SAME_START_SHARE = 0.8
"""Share of the targets whose entry has the same start as that of the ended one."""


class AddressReuser:
    """Lets additional targets follow each other at one address, until cancelled."""

    def __init__(self, world: World, *, seed: int) -> None:
        self._world = world
        # A generator of its own leaves the faults of known seeds as they are.
        self._rng = random.Random(f"reused addresses {seed}")

    async def run(self) -> None:
        """Use one address after the other again; their targets overlap."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._reuse_address())
                await asyncio.sleep(self._rng.uniform(0.5, MAX_INTERVAL_S))

    async def _reuse_address(self) -> None:
        world, rng = self._world, self._rng
        target = await world.add_target(self._draw_data_centre(), is_extra=True)
        listed = [target.name]
        for _ in range(rng.randint(1, MAX_SUCCESSORS)):
            await asyncio.sleep(rng.uniform(0.0, MAX_ALONE_S))
            target = await world.replace_at_address(
                target,
                self._draw_data_centre(),
                has_same_start=rng.random() < SAME_START_SHARE,
            )
            listed.append(target.name)
        await asyncio.sleep(rng.uniform(*LISTED_S))
        for name in listed:
            await world.remove_row(name)

    def _draw_data_centre(self) -> str:
        return self._rng.choice(["dc-1", "dc-2"])
