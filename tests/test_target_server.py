import asyncio
import contextlib
import hashlib

import aiohttp
import pytest

from dogwoodhook.testing.target_faults import HealthReport, TargetFaults
from dogwoodhook.testing.target_record import RunPhase
from dogwoodhook.testing.target_server import (
    CRASH_HEADER,
    NONCE_HEADER,
    TargetServer,
    TargetSettings,
    pattern_bytes,
)


@pytest.fixture
async def target():
    settings = TargetSettings(slots=2, queue_limit=1, service_time_ms=0)
    async with TargetServer(settings) as server:
        yield server


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as client:
        yield client


def url(target, path="/work"):
    return f"http://127.0.0.1:{target.port}{path}"


async def eventually(condition):
    async with asyncio.timeout(5):
        while True:
            if condition():
                return
            await asyncio.sleep(0.001)


async def test_an_upload_is_answered_with_its_digest_and_recorded(target, session):
    body = pattern_bytes(300_000)
    async with session.post(
        url(target), data=body, headers={NONCE_HEADER: "n-1"}
    ) as response:
        assert await response.json() == {
            "nonce": "n-1",
            "sha256": hashlib.sha256(body).hexdigest(),
            "size": 300_000,
        }
    async with session.get(url(target, "/_record?nonce=n-1")) as response:
        (run,) = (await response.json())["runs"]
    assert (run["method"], run["phase"], run["status"]) == ("POST", "finished", 200)


@pytest.mark.parametrize("query", ["?size=200000", "?size=200000&chunked=1"])
async def test_a_download_has_the_requested_bytes(target, session, query):
    async with session.get(url(target, "/file" + query)) as response:
        assert await response.read() == pattern_bytes(200_000)


async def test_requests_beyond_slots_and_queue_are_shed(target, session):
    async def fetch():
        async with session.get(url(target, "/w?service_time_ms=500")) as response:
            return response.status, response.headers.get("Dogwoodhook-Target")

    answers = await asyncio.gather(*(fetch() for _ in range(4)))
    assert sorted(answers, key=str) == [(200, None)] * 3 + [(503, "shed")]
    assert (len(target.record.runs), target.record.shed) == (3, 1)


async def test_a_draining_target_runs_no_new_request(target, session):
    await target.set_faults(TargetFaults(is_draining=True))
    async with session.get(url(target)) as response:
        assert response.headers["Dogwoodhook-Target"] == "draining"
    assert not target.record.runs


async def test_a_run_is_cut_when_its_caller_disconnects(target, session):
    async def fetch():
        async with session.get(url(target, "/w?service_time_ms=60000")):
            pass

    task = asyncio.create_task(fetch())
    await eventually(lambda: target.record.runs)
    task.cancel()
    await eventually(lambda: target.record.runs[0].phase is RunPhase.CUT)


async def test_the_deadline_cuts_a_run_and_sheds_a_queued_request(target, session):
    async def fetch(timeout_ms):
        async with session.get(
            url(target, "/w?service_time_ms=60000"),
            headers={"Dogwoodhook-Timeout-Ms": str(timeout_ms)},
        ) as response:
            return response.status, response.headers.get("Dogwoodhook-Target")

    running = [asyncio.create_task(fetch(200)) for _ in range(2)]
    await eventually(lambda: len(target.record.runs) == 2)
    assert await fetch(10) == (503, "shed")
    assert await asyncio.gather(*running) == [(504, None)] * 2
    assert {run.phase for run in target.record.runs} == {RunPhase.CUT}


async def test_gray_faults_fail_requests_of_a_workspace_while_health_is_good(
    target, session
):
    faults = TargetFaults(
        failing_workspaces={"oulu"}, failing_status=502, health=HealthReport.GOOD
    )
    await target.set_faults(faults)
    headers = {"Dogwoodhook-Workspace": "oulu"}
    async with session.get(url(target), headers=headers) as response:
        assert response.status == 502
    async with session.get(url(target)) as response:
        assert response.status == 200
    async with session.get(url(target, "/healthz")) as response:
        assert response.status == 200


async def test_a_failing_share_fails_part_of_the_requests(target, session):
    await target.set_faults(TargetFaults(failing_share=0.5))
    statuses = []
    for _ in range(60):
        async with session.get(url(target)) as response:
            statuses.append(response.status)
    assert 0 < statuses.count(500) < 60


async def test_the_reported_load_may_differ_from_the_real_one(target, session):
    await target.set_faults(TargetFaults(reported_in_flight=9))
    async with session.get(url(target, "/load")) as response:
        assert (await response.json())["in_flight"] == 9


async def test_reports_are_delayed_by_their_lag(session):
    async with TargetServer(TargetSettings(report_lag_ms=60_000)) as target:
        await target.set_faults(TargetFaults(is_draining=True))
        async with session.get(url(target, "/healthz")) as response:
            assert response.status == 200
        async with session.get(url(target, "/load")) as response:
            assert not (await response.json())["is_draining"]


async def test_a_crash_cuts_every_run_and_the_target_restarts(target, session):
    await target.set_faults(TargetFaults(restart_ms=10))

    async def fetch():
        async with session.post(url(target, "/w?service_time_ms=60000")):
            pass

    other_request = asyncio.create_task(fetch())
    await eventually(lambda: target.record.runs)
    with pytest.raises(aiohttp.ClientError):
        await session.post(url(target), headers={CRASH_HEADER: "1"})
    with pytest.raises(aiohttp.ClientError):
        await other_request
    assert {run.phase for run in target.record.runs} == {RunPhase.CUT}
    async with asyncio.timeout(5):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(url(target)) as response:
                    assert response.status == 200
                    break
            await asyncio.sleep(0.005)


async def test_open_connections_go_silent_while_new_ones_work(target, session):
    async with session.get(url(target)) as response:
        await response.read()
    async with aiohttp.ClientSession() as other:
        body = TargetFaults(silences_connections=True).model_dump_json()
        async with other.put(url(target, "/_faults"), data=body) as response:
            assert response.status == 204
    with pytest.raises(TimeoutError):
        await session.post(url(target), timeout=aiohttp.ClientTimeout(total=0.1))
    async with aiohttp.ClientSession() as fresh, fresh.get(url(target)) as response:
        assert response.status == 200


async def test_the_faults_of_a_target_that_is_down_are_set_through_a_sibling(session):
    async with TargetServer() as first, TargetServer() as second:
        first.siblings = second.siblings = {
            first.port: first,
            second.port: second,
        }
        faults_url = url(first, f"/_faults?port={second.port}")
        await session.put(faults_url, data='{"is_down": true}')
        with pytest.raises(aiohttp.ClientConnectorError):
            await session.get(url(second))
        await session.put(faults_url, data="{}")
        async with session.get(url(second)) as response:
            assert response.status == 200


async def test_an_unknown_fault_is_refused(target, session):
    async with session.put(url(target, "/_faults"), data='{"typo": 1}') as response:
        assert response.status == 400
