"""Stops, shutdown and configuration under faults, in a fleet of processes."""

import asyncio
import hashlib
import signal

import aiohttp
from local_services import read_record, running_fleet

from dogwoodhook.clock import SystemClock
from dogwoodhook.protocol.headers import OUTCOME_HEADER
from dogwoodhook.state.model import Parameters, PlannedStop, Template
from dogwoodhook.testing.fleet import HOST
from dogwoodhook.testing.relay import Relay
from dogwoodhook.testing.target_record import RunPhase
from dogwoodhook.testing.target_server import pattern_bytes

UPLOAD_CHUNKS = 40
CHUNK = bytes(64 * 1024)
DOWNLOAD_BYTES = 24 * 1024 * 1024
MORE_REQUESTS = 100
NOTICE_S = 75.0


async def slow_chunks(is_halfway, pause_s):
    for number in range(UPLOAD_CHUNKS):
        if number == UPLOAD_CHUNKS // 2:
            is_halfway.set()
        yield CHUNK
        await asyncio.sleep(pause_s)


async def upload(session, url, is_halfway, *, pause_s=0.05):
    async with session.put(url, data=slow_chunks(is_halfway, pause_s)) as response:
        answer = await response.json()
        return response.status, answer["sha256"]


async def download(session, url, may_continue):
    digest = hashlib.sha256()
    async with session.get(f"{url}?size={DOWNLOAD_BYTES}") as response:
        digest.update(await response.content.read(1024))
        await may_continue.wait()
        async for chunk in response.content.iter_any():
            digest.update(chunk)
    return digest.hexdigest()


async def wait_until_excluded(fleet, target, reason):
    for daemon in fleet.daemons:
        while reason not in await why_excluded(fleet, daemon, target):
            await asyncio.sleep(0.05)


async def why_excluded(fleet, daemon, target):
    status = await fleet.status_of(daemon)
    return [
        each.why_excluded
        for each in status.services["payouts"].targets
        if each.name == target
    ]


async def send_until(session, url, stop, outcomes):
    while not stop.is_set():
        async with session.get(url) as response:
            await response.read()
            outcomes.append((response.status, response.headers[OUTCOME_HEADER]))
        await asyncio.sleep(0.01)


async def wait_for_more_requests(outcomes):
    enough = len(outcomes) + MORE_REQUESTS
    while len(outcomes) < enough:
        await asyncio.sleep(0.05)


COMPLETE_UPLOAD = (200, hashlib.sha256(CHUNK * UPLOAD_CHUNKS).hexdigest())
COMPLETE_DOWNLOAD = hashlib.sha256(pattern_bytes(DOWNLOAD_BYTES)).hexdigest()


async def test_a_daemon_that_stops_cuts_no_upload_or_download():
    async with running_fleet(targets=1) as (fleet, ports, session):
        daemon = fleet.daemons[0]
        url = f"{daemon.caller_url}/payouts/file"
        is_halfway = asyncio.Event()
        uploading = asyncio.create_task(upload(session, url, is_halfway))
        downloading = asyncio.create_task(download(session, url, is_halfway))
        await is_halfway.wait()
        daemon.signal(signal.SIGTERM)
        assert await uploading == COMPLETE_UPLOAD
        assert await downloading == COMPLETE_DOWNLOAD
        assert await daemon.process.wait() == 0
        record = await read_record(session, ports[0])
        assert {run.phase for run in record.runs} == {RunPhase.FINISHED}


async def test_a_planned_stop_cuts_no_upload_and_ends_new_work():
    async with running_fleet() as (fleet, ports, session):
        clock = SystemClock()
        url = f"{fleet.daemons[0].caller_url}/payouts/file"
        ready = [asyncio.Event() for _ in range(4)]
        uploads = [
            asyncio.create_task(upload(session, url, is_halfway, pause_s=0.35))
            for is_halfway in ready
        ]
        start_s = clock.wall_s() + NOTICE_S
        await fleet.apply(
            PlannedStop("s1", "payouts", "payouts-0", start_s, start_s + 60.0)
        )
        stop, outcomes = asyncio.Event(), []
        sending = asyncio.create_task(
            send_until(
                session, f"{fleet.daemons[1].caller_url}/payouts", stop, outcomes
            )
        )
        await wait_until_excluded(fleet, "payouts-0", "planned stop")
        excluded_s = clock.now_s()
        assert await asyncio.gather(*uploads) == [COMPLETE_UPLOAD] * 4
        await wait_for_more_requests(outcomes)
        stop.set()
        await sending
        runs = (await read_record(session, ports[0])).runs
        assert {run.phase for run in runs} == {RunPhase.FINISHED}
        assert max(run.started_s for run in runs) <= excluded_s
        assert {outcome for _, outcome in outcomes} == {"answered"}


async def test_a_leaving_target_gets_no_new_work():
    async with running_fleet() as (fleet, ports, session):
        clock = SystemClock()
        stop, outcomes = asyncio.Event(), []
        sending = [
            asyncio.create_task(
                send_until(session, f"{daemon.caller_url}/payouts", stop, outcomes)
            )
            for daemon in fleet.daemons
        ]
        await fleet.put_vms(leaving=[f"{HOST}:{ports[0]}"])
        await wait_until_excluded(fleet, "payouts-0", "leaving")
        excluded_s = clock.now_s()
        await wait_for_more_requests(outcomes)
        stop.set()
        await asyncio.gather(*sending)
        runs = (await read_record(session, ports[0])).runs
        assert max(run.started_s for run in runs) <= excluded_s
        assert {outcome for _, outcome in outcomes} == {"answered"}


async def test_a_draining_target_gets_no_new_work_after_its_first_answer():
    async with running_fleet(daemons=1) as (fleet, ports, session):
        url = f"{fleet.daemons[0].caller_url}/payouts"
        await fleet.put_target_faults(ports[0], is_draining=True)
        for _ in range(50):
            async with session.post(url, data=b"payout") as response:
                assert response.status == 200
        assert (await read_record(session, ports[0])).shed <= 1


async def test_a_daemon_restarted_in_an_outage_never_serves_an_older_version():
    async with running_fleet(daemons=2) as (fleet, _ports, _session):
        first, second = fleet.daemons
        version = await fleet.apply(
            Template("tills", Parameters(capacity_floor=1, deadline_ms=50_000))
        )
        await fleet.wait_version(version)
        await fleet.put_platform_faults(is_down=True)
        second.signal(signal.SIGKILL)
        await second.process.wait()
        await fleet.start_daemon(second)
        await fleet.wait_version(version)
        status = await fleet.status_of(second)
        assert status.configuration_version == version
        first.signal(signal.SIGKILL)
        await first.process.wait()
        second.signal(signal.SIGKILL)
        await second.process.wait()
        await fleet.start_daemon(second)
        status = await fleet.status_of(second)
        assert status.configuration_version == 0
        assert not status.is_ready


async def test_a_request_after_sigterm_is_run_exactly_when_it_is_answered():
    async with running_fleet(daemons=1, targets=1) as (fleet, ports, session):
        daemon = fleet.daemons[0]
        outcomes = []
        daemon.signal(signal.SIGTERM)
        for number in range(200):
            headers = {"Dogwoodhook-Nonce": f"n{number}"}
            try:
                async with session.post(
                    f"{daemon.caller_url}/payouts", headers=headers
                ) as response:
                    outcomes.append((f"n{number}", response.headers[OUTCOME_HEADER]))
            except aiohttp.ClientError:
                break
        assert await daemon.process.wait() == 0
        ran = {run.nonce for run in (await read_record(session, ports[0])).runs}
        for nonce, outcome in outcomes:
            assert (nonce in ran) == (outcome == "answered")


async def test_a_daemon_cut_from_the_table_follows_its_peers_and_becomes_unready():
    async with running_fleet(daemons=2) as (fleet, _ports, _session):
        cut = fleet.daemons[1]
        async with Relay(port=fleet.platform_port) as relay:
            cut.signal(signal.SIGKILL)
            await cut.process.wait()
            cut.platform_url = f"http://{HOST}:{relay.port}"
            await fleet.start_daemon(cut)
            await fleet.wait_ready()
            relay.is_cut_to_client = True
            version = await fleet.apply(
                Template("tills", Parameters(capacity_floor=1, deadline_ms=50_000))
            )
            await fleet.wait_version(version)
            while (await fleet.status_of(cut)).is_ready:
                await asyncio.sleep(0.05)
            assert (await fleet.status_of(fleet.daemons[0])).is_ready
            relay.is_cut_to_client = False
            await fleet.wait_ready()
            assert await fleet.version_of(cut) == version
