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
    """Callers that send requests to one daemon process until it has ended."""

    def __init__(self, daemon):
        self.url = daemon.caller_url
        self.answers = {}
        self.is_finished = False

    async def call(self, caller):
        async with open_caller() as session:
            number = 0
            while not self.is_finished:
                nonce = f"{caller}-{number}"
                number += 1
                answer = await exchange(session, self, method="POST", nonce=nonce)
                self.answers[nonce] = answer
                if isinstance(answer, BrokenAnswer):
                    await asyncio.sleep(0.01)

    def nonces(self, *, outcome):
        return {
            nonce
            for nonce, answer in self.answers.items()
            if not isinstance(answer, BrokenAnswer)
            and answer.outcome.startswith(outcome)
        }


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGKILL])
async def test_outcomes_sent_to_callers_around_the_end_of_a_daemon_are_true(
    stop_signal,
):
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
        daemon.signal(stop_signal)
        async with asyncio.timeout(20):
            status = await daemon.process.wait()
        load.is_finished = True
        await asyncio.gather(*callers)
        runs = [run for target in (first, second) for run in target.record.runs]
        run_nonces = [run.nonce for run in runs if run.method == "POST"]
        assert len(run_nonces) == len(set(run_nonces))
        assert load.nonces(outcome="answered")
        assert load.nonces(outcome="answered") <= set(run_nonces)
        assert not load.nonces(outcome="not-run") & set(run_nonces)
        if stop_signal is signal.SIGTERM:
            assert status == 0
            assert set(run_nonces) <= load.nonces(outcome="answered")
            assert not [run for run in runs if run.phase == "cut"]
