"""A request under which targets end, among others, sent to the daemons of a site."""

import asyncio
import itertools
import random
from dataclasses import dataclass

import pytest

from dogwoodhook.testing.fleet import free_port
from tests.exchanges import until
from tests.platform_adapter.conftest import make_route
from tests.platform_adapter.ending_target import EndingTarget
from tests.platform_adapter.harmful_callers import (
    Caller,
    count_later_arrivals,
    end_times_s,
    served_share,
)

SLOTS = 4
HARMFUL_INTERVAL_S = 0.2
SOUND_INTERVAL_S = 1 / 15
HARMFUL_HOST = "127.0.0.41"
SOUND_HOST = "127.0.0.42"

MAX_LATER_ARRIVALS = 2
"""One less than the rule allows."""

MAX_ENDS = 6
"""Three ends, one in a trial, and two whose connections break as the third does."""


@dataclass(frozen=True)
class Play:
    """How a harmful request is sent, and what its targets do.

    ``copies`` are sent together each time. ``leaves_after_s`` is the time after which
    the caller closes its connection. ``is_store_away`` tells that the store refuses
    every call. The other fields are those of the target.
    """

    daemons: int = 8
    targets: int = 14
    seconds: float = 13.0
    copies: int = 1
    leaves_after_s: float | None = None
    is_store_away: bool = False
    is_registered: bool = True
    down_s: float | None = 3.0
    wait_s: float = 0.0
    error_share: float = 0.0
    refused_share: float = 0.0
    finishes_cut_requests: bool = False
    seed: int = 1


@dataclass(frozen=True)
class Outcome:
    """The targets that ended, arrivals too late, and the share of sound answers."""

    ended: int
    later: int
    served: float


async def start_targets(platform, play, rng):
    targets = []
    for number in range(play.targets):
        name = f"t{number}"

        async def register(entry, name=name):
            await platform.store.put("servers", name, entry)

        target = EndingTarget(
            name,
            free_port(),
            is_harmful=lambda received: "bad" in received.path,
            work_s=0.06,
            slots=SLOTS,
            rng=rng,
            down_s=play.down_s,
            wait_s=play.wait_s,
            error_share=play.error_share,
            refused_share=play.refused_share,
            finishes_cut_requests=play.finishes_cut_requests,
            register=register if play.is_registered else None,
        )
        await target.open()
        platform.stack.push_async_callback(target.close)
        await register(target.entry())
        targets.append(target)
    return targets


async def send_for(platform, caller, rng, *, seconds, interval_s, make_path, **options):
    """Send requests at regular intervals, each to a random daemon."""
    loop = asyncio.get_running_loop()
    copies = options.pop("copies", 1)
    leaves_after_s = options.pop("leaves_after_s", None)
    until_s = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < until_s:
            for _ in range(copies):
                sending = caller.send(
                    make_path(), gateway=rng.choice(platform.gateways), **options
                )
                group.create_task(abandon(sending, leaves_after_s))
            await asyncio.sleep(interval_s)


async def abandon(sending, after_s):
    """Wait for an answer, and leave without it after a time."""
    try:
        async with asyncio.timeout(after_s):
            await sending
    except TimeoutError:
        pass


async def run_play(platform, play):
    rng = random.Random(play.seed)
    route = make_route("/read/", kind="safe", timeout="8000ms", attempts=3)
    await platform.configure(read=route)
    targets = await start_targets(platform, play, rng)
    for number in range(play.daemons):
        await platform.start_gateway(f"vm-{number}")
    await until(
        lambda: all(len(each.peers) == play.daemons - 1 for each in platform.gateways)
    )
    if play.is_store_away:
        platform.store.faults.refused = 503
    harmful, sound = Caller(platform, HARMFUL_HOST), Caller(platform, SOUND_HOST)
    numbers = itertools.count()
    ends_s = asyncio.get_running_loop().time() + play.seconds
    await asyncio.gather(
        send_for(
            platform,
            harmful,
            rng,
            seconds=play.seconds,
            interval_s=HARMFUL_INTERVAL_S,
            make_path=lambda: "/read/bad",
            copies=play.copies,
            leaves_after_s=play.leaves_after_s,
            **{"Deadline-Ms": "15000"},
        ),
        send_for(
            platform,
            sound,
            rng,
            seconds=play.seconds,
            interval_s=SOUND_INTERVAL_S,
            make_path=lambda: f"/read/sound-{next(numbers)}",
        ),
    )
    served = served_share(sound.replies, since_s=ends_s - 4.0)
    return Outcome(len(end_times_s(targets)), count_later_arrivals(targets), served)


@pytest.mark.parametrize(
    "play",
    [
        pytest.param(Play(down_s=None), id="port-stays-open"),
        pytest.param(
            Play(down_s=None, is_registered=False, is_store_away=True),
            id="port-stays-open-and-store-away",
        ),
        pytest.param(
            Play(daemons=16, wait_s=5.0, targets=24, seconds=24.0),
            id="waits-at-its-target",
        ),
        pytest.param(Play(error_share=0.8, seconds=20.0), id="errors"),
        pytest.param(
            Play(leaves_after_s=0.03, finishes_cut_requests=True),
            id="callers-leave",
        ),
    ],
)
async def test_a_harmful_request_keeps_reaching_targets(platform, play):
    outcome = await run_play(platform, play)
    assert outcome.later <= MAX_LATER_ARRIVALS
    assert outcome.served == 1.0


async def test_copies_of_a_harmful_request_that_wait_at_targets_end_them(platform):
    outcome = await run_play(platform, Play(wait_s=2.0, seconds=8.0))
    assert outcome.ended <= MAX_ENDS
    assert outcome.served == 1.0
