"""A store that is away for a moment and comes back from a copy of its rows."""

import asyncio
import random
import time
from collections import deque

from tests.platform_adapter.soak.world import World

COPY_INTERVAL_S = 1.0
MAX_COPIES = 10

COPY_AGES_S = (1.0, 8.0)
"""Lowest and highest age of the copy from which the store comes back."""

AWAY_S = (0.2, 1.0)
REWRITE_S = (0.1, 2.0)
"""Shortest and longest time after a return until a row is written again."""

FIRST_RETURN_S = (1.5, 4.0)
INTERVAL_S = (1.5, 3.0)
"""Shortest and longest times before the first outage, and before the second one."""

IN_A_ROW_SHARE = 0.4
"""Share of the returns that are followed by another one before all is written again."""


class StoreReturner:
    """Lets the store come back from copies once or twice, until cancelled."""

    def __init__(self, world: World, *, seed: int) -> None:
        self._world = world
        # A generator of its own leaves the faults of known seeds as they are.
        self._rng = random.Random(f"store returns {seed}")
        self._copies: deque = deque(maxlen=MAX_COPIES)
        self._returns: set[asyncio.Task] = set()
        self.count = 0

    async def run(self) -> None:
        """Copy the rows each second, and play the returns beside it."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._keep_copies())
            group.create_task(self._return_at_times())

    async def finish(self) -> None:
        """Wait until all is written again that the returns so far have lost."""
        await asyncio.gather(*self._returns)

    async def _keep_copies(self) -> None:
        while True:
            self._copies.append((time.monotonic(), self._world.store.copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _return_at_times(self) -> None:
        rng = self._rng
        await asyncio.sleep(rng.uniform(*FIRST_RETURN_S))
        await self._return()
        if rng.random() < IN_A_ROW_SHARE:
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            await self._return()
        elif rng.random() < 0.5:
            await asyncio.sleep(REWRITE_S[1] + rng.uniform(*INTERVAL_S))
            await self._return()

    async def _return(self) -> None:
        """Let the store go away and return; what it lost is written again later."""
        has_returned = asyncio.Event()
        rewriting = asyncio.create_task(self._play_return(has_returned))
        self._returns.add(rewriting)
        await has_returned.wait()

    async def _play_return(self, has_returned: asyncio.Event) -> None:
        world, rng = self._world, self._rng
        outage = world.store.outage
        with world.recording_disturbance(is_of_store=True):
            outage.is_silent = rng.random() < 0.5
            outage.refused = 0 if outage.is_silent else 503
            await asyncio.sleep(rng.uniform(*AWAY_S))
            world.store.restore(self._choose_copy())
            outage.clear()
            self.count += 1
            has_returned.set()
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    world.configure_again(delay_s=rng.uniform(*REWRITE_S))
                )
                for name in world.registered:
                    group.create_task(
                        world.register_after_return(
                            name, delay_s=rng.uniform(*REWRITE_S)
                        )
                    )

    def _choose_copy(self):
        now_s = time.monotonic()
        youngest_s, oldest_s = COPY_AGES_S
        return self._rng.choice(
            [
                copy
                for copied_s, copy in self._copies
                if youngest_s <= now_s - copied_s <= oldest_s
            ]
        )
