"""What disturbs a soak: series of faults that overlap."""

import asyncio
import signal
import time
from contextlib import ExitStack, contextmanager

from tests.platform_adapter import target_server as behave
from tests.platform_adapter.soak.world import (
    Daemon,
    SoakTarget,
    World,
    cut_head,
    repeat_refusal,
)
from tests.platform_adapter.store_server import StoreFaults

GRAY_BEHAVIOURS = (
    behave.reset,
    behave.hang,
    behave.refuse,
    behave.misdirected,
    behave.server_error,
    behave.foreign_answer,
    behave.unsigned,
    behave.truncated,
    behave.unframed_reset,
    behave.extra_answer,
    behave.bare_503,
    repeat_refusal,
    cut_head,
)

MIN_TARGETS = 3


def _running(world: World):
    return [each for each in world.daemons if each.is_running and not each.is_stopping]


async def kill_daemons(world: World) -> None:
    """Kill one daemon, or most of them at once, and start them again."""
    running = _running(world)
    count = world.rng.choice([1, 1, 1, len(running)])
    killed = running[:count]
    with ExitStack() as disturbed:
        for daemon in killed:
            disturbed.enter_context(world.disturbing(daemon))
            daemon.is_stopping = True
            world.kill(daemon)
        await asyncio.sleep(world.rng.uniform(0.1, 1.0))
        for daemon in killed:
            await world.restart(daemon)


async def stop_daemon(world: World) -> None:
    """Stop a daemon as planned work does, and start it again."""
    running = _running(world)
    if len(running) < 2:
        return
    await _stop_and_restart(world, world.rng.choice(running))


async def _stop_and_restart(world: World, daemon: Daemon) -> None:
    with world.disturbing(daemon, is_planned=True):
        await world.stop(daemon)
        await world.restart(daemon)


async def stop_daemons(world: World) -> None:
    """Stop several daemons one after the other, before the first has ended."""
    async with asyncio.TaskGroup() as group:
        for _ in range(world.rng.randint(2, 3)):
            group.create_task(stop_daemon(world))
            await asyncio.sleep(world.rng.uniform(0.2, 2.0))


async def stop_beside_another_fault(world: World) -> None:
    """Stop a daemon while others, or what it is told, change."""
    other = world.rng.choice([pause_daemon, reload_daemon, change_configuration])
    async with asyncio.TaskGroup() as group:
        group.create_task(stop_daemon(world))
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))
        group.create_task(other(world))


async def pause_daemon(world: World) -> None:
    """Let a daemon stand still for seconds."""
    running = _running(world)
    if not running:
        return
    daemon = world.rng.choice(running)
    with world.disturbing(daemon):
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(world.rng.uniform(0.5, 3.0))
        daemon.send_signal(signal.SIGCONT)


async def reload_daemon(world: World) -> None:
    """Change a settings file, with or without a signal."""
    daemon = world.rng.choice(world.daemons)
    world.rewrite_settings(daemon)
    if world.rng.random() < 0.5:
        daemon.send_signal(signal.SIGHUP)


async def disturb_store(world: World) -> None:
    """Let the store refuse, answer late, fall silent or forget."""
    if world.rng.random() < 0.25:
        world.store.drop_history()
    else:
        _disturb(world.store.faults, world)
    with world.disturbing():
        await asyncio.sleep(world.rng.uniform(0.5, 4.0))
        world.store.faults.clear()


async def disturb_store_of_some(world: World) -> None:
    """Let the store fail for some of the daemons only."""
    count = world.rng.randint(1, len(world.daemons) - 1)
    daemons = world.rng.sample(world.daemons, count)
    with ExitStack() as disturbed:
        for daemon in daemons:
            disturbed.enter_context(world.disturbing(daemon, is_of_store=True))
            _disturb(daemon.door.faults, world)
        await asyncio.sleep(world.rng.uniform(0.5, 4.0))
        for daemon in daemons:
            daemon.door.faults.clear()


def _disturb(faults: StoreFaults, world: World) -> None:
    match world.rng.choice(["refuse", "silent", "slow", "lose"]):
        case "refuse":
            faults.refused = world.rng.choice([429, 503])
        case "silent":
            faults.is_silent = True
        case "slow":
            faults.delay_s = 0.3
        case "lose":
            faults.loses_answers = True


@contextmanager
def _harming(target: SoakTarget):
    """Note that a target's link is harmed, and was until now."""
    target.harmed_s = float("inf")
    try:
        yield
    finally:
        target.harmed_s = time.monotonic()


async def cut_connections(world: World) -> None:
    """Cut the connections of a daemon to the store or to a target, one way or both."""
    side = world.rng.choice([*world.daemons, *world.targets.values()])
    is_daemon = isinstance(side, Daemon)
    relay = side.store if is_daemon else side.relay
    with world.disturbing(side, is_of_store=True) if is_daemon else _harming(side):
        relay.is_cut_to_server = world.rng.random() < 0.7
        relay.is_cut_to_client = not relay.is_cut_to_server or world.rng.random() < 0.5
        await asyncio.sleep(world.rng.uniform(0.5, 4.0))
        relay.is_cut_to_server = relay.is_cut_to_client = False


async def disturb_callers(world: World) -> None:
    """Delay, reset, cut or silence the relayed connections of a daemon's callers."""
    daemon = world.rng.choice(world.daemons)
    relay = daemon.front
    fault = world.rng.choice(["delay", "reset", "cut", "silence"])
    match fault:
        case "delay":
            relay.delay_s = world.rng.uniform(0.05, 0.3)
        case "cut":
            relay.is_cut_to_server = world.rng.random() < 0.5
            relay.is_cut_to_client = not relay.is_cut_to_server
        case "silence":
            relay.silence_open_connections()
    with world.harming_link(daemon, is_cut=fault != "delay"):
        try:
            if fault != "reset":
                await asyncio.sleep(world.rng.uniform(0.5, 3.0))
        finally:
            relay.is_cut_to_server = relay.is_cut_to_client = False
            relay.delay_s = 0.0
            # What was lost on a connection is never sent again, so it ends.
            if fault != "delay":
                relay.reset_open_connections()


async def signal_stopping_daemon(world: World) -> None:
    """Stop a daemon, and signal it again while it stops."""
    running = _running(world)
    if len(running) < 2:
        return
    daemon = world.rng.choice(running)
    async with asyncio.TaskGroup() as group:
        group.create_task(_stop_and_restart(world, daemon))
        await asyncio.sleep(world.rng.uniform(0.0, 2.5))
        if daemon.is_stopping:
            daemon.send_signal(world.rng.choice([signal.SIGTERM, signal.SIGHUP]))


async def silence_connections(world: World) -> None:
    """Let all connections to the store that are open fall silent for good."""
    with world.disturbing():
        for daemon in world.daemons:
            daemon.store.silence_open_connections()


async def make_gray(world: World) -> None:
    """Let a target fail most requests for some seconds."""
    target = world.rng.choice(list(world.targets.values()))
    target.gray = world.rng.choice(GRAY_BEHAVIOURS)
    await asyncio.sleep(world.rng.uniform(1.0, 5.0))
    target.gray = None


async def replace_target(world: World) -> None:
    """Let a target leave and another one come."""
    await world.add_target(world.rng.choice(["dc-1", "dc-2"]))
    if len(world.targets) > MIN_TARGETS:
        await world.drain_target(world.rng.choice(list(world.targets)))


async def change_configuration(world: World) -> None:
    """Write one version or a quick succession of them, some of them invalid."""
    for _ in range(world.rng.choice([1, 1, 4])):
        await world.configure(is_valid=world.rng.random() < 0.8)
        await asyncio.sleep(0.1)


FAULTS = (
    kill_daemons,
    stop_daemon,
    stop_daemons,
    stop_beside_another_fault,
    signal_stopping_daemon,
    pause_daemon,
    reload_daemon,
    disturb_store,
    disturb_store_of_some,
    disturb_callers,
    disturb_callers,
    cut_connections,
    silence_connections,
    make_gray,
    make_gray,
    replace_target,
    change_configuration,
)


async def run_series(world: World, injected: list[str]) -> None:
    """Inject one fault after the other until cancelled; several series overlap."""
    while True:
        await asyncio.sleep(world.rng.uniform(0.1, 1.0))
        fault = world.rng.choice(FAULTS)
        injected.append(fault.__name__)
        await fault(world)
