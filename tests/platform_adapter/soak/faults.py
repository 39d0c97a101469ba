"""Faults that a soak injects, in series that run at the same time."""

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
    duplicate_refusal,
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
    duplicate_refusal,
    cut_head,
)

MIN_TARGETS = 3


def _running_daemons(world: World):
    return [each for each in world.daemons if each.is_running and not each.is_stopping]


async def kill_daemons(world: World) -> None:
    """Kill one running daemon, or all of them at once, and start them again."""
    running = _running_daemons(world)
    count = world.rng.choice([1, 1, 1, len(running)])
    killed = running[:count]
    with ExitStack() as disturbances:
        for daemon in killed:
            disturbances.enter_context(world.recording_disturbance(daemon))
            daemon.is_stopping = True
            world.kill(daemon)
        await asyncio.sleep(world.rng.uniform(0.1, 1.0))
        for daemon in killed:
            await world.restart(daemon)


async def stop_daemon(world: World) -> None:
    """Stop a daemon with SIGTERM and start it again."""
    running = _running_daemons(world)
    if len(running) < 2:
        return
    await _stop_and_restart(world, world.rng.choice(running))


async def _stop_and_restart(world: World, daemon: Daemon) -> None:
    with world.recording_disturbance(daemon, is_planned=True):
        await world.stop(daemon)
        await world.restart(daemon)


async def stop_daemons(world: World) -> None:
    """Stop several daemons one after the other; their stops may overlap."""
    async with asyncio.TaskGroup() as group:
        for _ in range(world.rng.randint(2, 3)):
            group.create_task(stop_daemon(world))
            await asyncio.sleep(world.rng.uniform(0.2, 2.0))


async def stop_beside_another_fault(world: World) -> None:
    """Stop a daemon during another fault or a change of the configuration."""
    other = world.rng.choice([pause_daemon, reload_daemon, change_configuration])
    async with asyncio.TaskGroup() as group:
        group.create_task(stop_daemon(world))
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))
        group.create_task(other(world))


async def pause_daemon(world: World) -> None:
    """Suspend a daemon's process for some seconds."""
    running = _running_daemons(world)
    if not running:
        return
    daemon = world.rng.choice(running)
    with world.recording_disturbance(daemon):
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(world.rng.uniform(0.5, 3.0))
        daemon.send_signal(signal.SIGCONT)


async def reload_daemon(world: World) -> None:
    """Change a daemon's settings file, with or without SIGHUP."""
    daemon = world.rng.choice(world.daemons)
    world.rewrite_settings(daemon)
    if world.rng.random() < 0.5:
        daemon.send_signal(signal.SIGHUP)


async def inject_store_faults(world: World) -> None:
    """Let the store refuse, delay or lose answers, fall silent, or lose its history."""
    if world.rng.random() < 0.25:
        world.store.drop_history()
    else:
        _set_random_store_fault(world.store.faults, world)
    with world.recording_disturbance():
        await asyncio.sleep(world.rng.uniform(0.5, 4.0))
        world.store.faults.clear()


async def inject_store_faults_for_some_daemons(world: World) -> None:
    """Let the store fail towards some of the daemons only."""
    count = world.rng.randint(1, len(world.daemons) - 1)
    daemons = world.rng.sample(world.daemons, count)
    with ExitStack() as disturbances:
        for daemon in daemons:
            disturbances.enter_context(
                world.recording_disturbance(daemon, is_of_store=True)
            )
            _set_random_store_fault(daemon.store_endpoint.faults, world)
        await asyncio.sleep(world.rng.uniform(0.5, 4.0))
        for daemon in daemons:
            daemon.store_endpoint.faults.clear()


def _set_random_store_fault(faults: StoreFaults, world: World) -> None:
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
def _recording_link_fault(target: SoakTarget):
    """Record a fault of a target's link."""
    target.link_fault_until_s = float("inf")
    try:
        yield
    finally:
        target.link_fault_until_s = time.monotonic()


async def cut_connections(world: World) -> None:
    """Cut the links of a daemon to the store, or of a target, one way or both."""
    endpoint = world.rng.choice([*world.daemons, *world.targets.values()])
    is_daemon = isinstance(endpoint, Daemon)
    relay = endpoint.store_relay if is_daemon else endpoint.relay
    with (
        world.recording_disturbance(endpoint, is_of_store=True)
        if is_daemon
        else _recording_link_fault(endpoint)
    ):
        relay.is_cut_to_server = world.rng.random() < 0.7
        relay.is_cut_to_client = not relay.is_cut_to_server or world.rng.random() < 0.5
        await asyncio.sleep(world.rng.uniform(0.5, 4.0))
        relay.is_cut_to_server = relay.is_cut_to_client = False


async def inject_caller_link_faults(world: World) -> None:
    """Delay, reset, cut or silence the relayed connections of a daemon's callers."""
    daemon = world.rng.choice(world.daemons)
    relay = daemon.caller_relay
    fault = world.rng.choice(["delay", "reset", "cut", "silence"])
    match fault:
        case "delay":
            relay.delay_s = world.rng.uniform(0.05, 0.3)
        case "cut":
            relay.is_cut_to_server = world.rng.random() < 0.5
            relay.is_cut_to_client = not relay.is_cut_to_server
        case "silence":
            relay.silence_open_connections()
    with world.recording_link_fault(daemon, is_cut=fault != "delay"):
        try:
            if fault != "reset":
                await asyncio.sleep(world.rng.uniform(0.5, 3.0))
        finally:
            relay.is_cut_to_server = relay.is_cut_to_client = False
            relay.delay_s = 0.0
            # What a connection lost is never sent again, so the connection is reset.
            if fault != "delay":
                relay.reset_open_connections()


async def signal_stopping_daemon(world: World) -> None:
    """Stop a daemon and send it another SIGTERM or SIGHUP while it stops."""
    running = _running_daemons(world)
    if len(running) < 2:
        return
    daemon = world.rng.choice(running)
    async with asyncio.TaskGroup() as group:
        group.create_task(_stop_and_restart(world, daemon))
        await asyncio.sleep(world.rng.uniform(0.0, 2.5))
        if daemon.is_stopping:
            daemon.send_signal(world.rng.choice([signal.SIGTERM, signal.SIGHUP]))


async def silence_connections(world: World) -> None:
    """Silence all open connections to the store until they are closed."""
    with world.recording_disturbance():
        for daemon in world.daemons:
            daemon.store_relay.silence_open_connections()


async def make_gray(world: World) -> None:
    """Let a target fail most of its requests for some seconds."""
    target = world.rng.choice(list(world.targets.values()))
    target.gray_behaviour = world.rng.choice(GRAY_BEHAVIOURS)
    await asyncio.sleep(world.rng.uniform(1.0, 5.0))
    target.gray_behaviour = None


async def replace_target(world: World) -> None:
    """Add a target, and drain another one if enough remain."""
    await world.add_target(world.rng.choice(["dc-1", "dc-2"]))
    if len(world.targets) > MIN_TARGETS:
        await world.drain_target(world.rng.choice(list(world.targets)))


async def change_configuration(world: World) -> None:
    """Write one version of the configuration or four in a row, some invalid."""
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
    inject_store_faults,
    inject_store_faults_for_some_daemons,
    inject_caller_link_faults,
    inject_caller_link_faults,
    cut_connections,
    silence_connections,
    make_gray,
    make_gray,
    replace_target,
    change_configuration,
)


async def run_series(world: World, injected: list[str]) -> None:
    """Inject one fault after the other until cancelled; series may overlap."""
    while True:
        await asyncio.sleep(world.rng.uniform(0.1, 1.0))
        fault = world.rng.choice(FAULTS)
        injected.append(fault.__name__)
        await fault(world)
