import asyncio
import signal

import pytest
from exchanges import BrokenAnswer, exchange, open_caller

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.editing import apply_documents
from dogwoodhook.testing.fleet import LocalFleet, wait_for_answer
from dogwoodhook.testing.local_proxy import local_documents
from dogwoodhook.testing.target_server import TargetServer, TargetSettings
from dogwoodhook.transport.platform_client import open_platform

CALLERS = 12
SETTINGS = TargetSettings(slots=3, queue_limit=2, service_time_ms=10)


class DaemonUnderLoad:
    """Callers of one daemon process that go on until it is gone."""

    def __init__(self, daemon):
        self.url = daemon.caller_url
        self.answers = {}
        self.is_over = False

    async def call(self, caller):
        async with open_caller() as session:
            number = 0
            while not self.is_over:
                nonce = f"{caller}-{number}"
                number += 1
                seen = await exchange(session, self, method="POST", nonce=nonce)
                self.answers[nonce] = seen
                if isinstance(seen, BrokenAnswer):
                    await asyncio.sleep(0.01)

    def nonces(self, *, outcome):
        return {
            nonce
            for nonce, seen in self.answers.items()
            if not isinstance(seen, BrokenAnswer) and seen.outcome.startswith(outcome)
        }


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
async def test_what_callers_were_told_around_the_end_of_a_daemon(number):
    async with (
        TargetServer(SETTINGS) as first,
        TargetServer(SETTINGS) as second,
        LocalFleet(daemons=1, target_ports=[]) as fleet,
        open_platform(fleet.platform_url) as platform,
    ):
        documents = local_documents([first.port, second.port])
        applied = await apply_documents(
            platform, documents, author="test", clock=SystemClock()
        )
        assert applied.is_ok()
        (daemon,) = fleet.daemons
        await wait_for_answer(f"{daemon.caller_url}/work")
        load = DaemonUnderLoad(daemon)
        callers = [asyncio.create_task(load.call(each)) for each in range(CALLERS)]
        await asyncio.sleep(0.5)
        daemon.signal(number)
        async with asyncio.timeout(20):
            status = await daemon.process.wait()
        load.is_over = True
        await asyncio.gather(*callers)
        runs = [run for target in (first, second) for run in target.record.runs]
        ran = [run.nonce for run in runs if run.method == "POST"]
        assert len(ran) == len(set(ran))
        assert load.nonces(outcome="answered")
        assert load.nonces(outcome="answered") <= set(ran)
        assert not load.nonces(outcome="not-run") & set(ran)
        if number is signal.SIGTERM:
            assert status == 0
            assert set(ran) <= load.nonces(outcome="answered")
            assert not [run for run in runs if run.phase == "cut"]
