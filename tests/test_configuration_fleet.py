import asyncio
import json
import signal

import aiohttp
import pytest

from dogwoodhook.testing.fleet import LocalFleet

TEMPLATE = """\
[template]
name = "tills"
[template.parameters]
capacity_floor = {floor}
"""

WAIT_S = 20


@pytest.fixture
async def fleet(request):
    async with LocalFleet(daemons=request.param, target_ports=[]) as fleet:
        yield fleet


async def apply(fleet, directory, floor, *flags):
    path = directory / "tills.toml"
    path.write_text(TEMPLATE.format(floor=floor))
    status, output = await fleet.run_cli(
        "template", "apply", str(path), "--json", *flags
    )
    assert status == 0, output
    return json.loads(output)


async def read_status(daemon):
    url = f"{daemon.admin_url}/status"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return await response.json()


async def wait_until_ready(daemon):
    """Return the statuses that the daemon reported until it was ready."""
    statuses = []
    async with asyncio.timeout(WAIT_S):
        while not statuses or not statuses[-1]["is_ready"]:
            await asyncio.sleep(0.2)
            statuses.append(await read_status(daemon))
    return statuses


@pytest.mark.parametrize("fleet", [3], indirect=True)
async def test_a_daemon_restarted_during_an_outage_gets_its_version_from_peers(
    fleet, tmp_path
):
    applied = await apply(fleet, tmp_path, 0, "--wait")
    assert len(applied["waited"]["in_force"]) == 3
    await apply(fleet, tmp_path, 1, "--wait")
    await fleet.put_platform_faults(is_down=True)
    restarted, *others = fleet.daemons
    restarted.signal(signal.SIGKILL)
    await restarted.process.wait()
    await fleet.start_daemon(restarted)
    statuses = await wait_until_ready(restarted)
    assert not statuses[0]["is_ready"]
    assert statuses[-1]["configuration_version"] == 2
    assert [(await read_status(other))["is_ready"] for other in others] == [True, True]
    await fleet.put_platform_faults()
    applied = await apply(fleet, tmp_path, 2, "--wait")
    assert applied["accepted"]["version"] == 3
    assert len(applied["waited"]["in_force"]) == 3


@pytest.mark.parametrize("fleet", [1], indirect=True)
async def test_a_change_whose_answer_was_lost_is_made_once(fleet, tmp_path):
    await fleet.put_platform_faults(lost_answers=1)
    applied = await apply(fleet, tmp_path, 0, "--wait")
    assert applied["accepted"]["version"] == 1
    assert applied["accepted"]["is_new"]
    again = await apply(fleet, tmp_path, 0)
    assert again["accepted"] == {"version": 1, "is_new": False, "changes": []}
    status, output = await fleet.run_cli("history", "--json")
    assert (status, len(json.loads(output))) == (0, 1)
