"""What callers are told, held against what targets ran, under random faults."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass

import aiohttp
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dogwoodhook.protocol.headers import (
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    TIMEOUT_HEADER,
)
from dogwoodhook.testing.local_proxy import LocalProxy
from dogwoodhook.testing.memory_platform import MemoryPlatform
from dogwoodhook.testing.target_faults import TargetFaults
from dogwoodhook.testing.target_record import RunPhase
from dogwoodhook.testing.target_server import (
    CRASH_HEADER,
    NONCE_HEADER,
    TargetServer,
    TargetSettings,
)

TARGETS = 2
RESTART_MS = 5
SETTINGS = TargetSettings(slots=2, queue_limit=1, service_time_ms=1)


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request; ``leaves_after_ms`` tells when the caller gives up."""

    method: str
    timeout_ms: int
    crashes: bool
    key: str | None
    leaves_after_ms: int | None


@dataclass(frozen=True, slots=True)
class Seen:
    """What the caller saw; ``None`` for no whole answer."""

    nonce: str
    request: Request
    outcome: str | None
    body: bytes = b""


REQUESTS = st.builds(
    Request,
    method=st.sampled_from(["GET", "POST", "PUT", "DELETE"]),
    timeout_ms=st.sampled_from([3, 20, 80]),
    crashes=st.sampled_from([False] * 9 + [True]),
    key=st.sampled_from([None, None, None, "k1", "k2", "k3"]),
    leaves_after_ms=st.sampled_from([None, None, None, 1, 4]),
)
FAULTS = st.builds(
    TargetFaults,
    is_shedding=st.booleans(),
    is_draining=st.sampled_from([False, False, True]),
    is_down=st.sampled_from([False, False, True]),
    silences_connections=st.sampled_from([False, False, True]),
    failing_share=st.sampled_from([0.0, 0.0, 0.5]),
    slow_factor=st.sampled_from([1.0, 1.0, 30.0]),
    restart_ms=st.just(RESTART_MS),
)


class ExchangeOutcomes(RuleBasedStateMachine):
    """Callers, one proxy and two targets on loopback sockets."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.numbers = itertools.count()
        self.seen = []
        self.runner.run(self.start())

    async def start(self):
        self.targets = [TargetServer(SETTINGS) for _ in range(TARGETS)]
        for target in self.targets:
            await target.__aenter__()
            await target.set_faults(TargetFaults(restart_ms=RESTART_MS))
        self.platform = MemoryPlatform()
        ports = [target.port for target in self.targets]
        self.proxy = LocalProxy(ports, platform=self.platform)
        await self.proxy.__aenter__()
        connector = aiohttp.TCPConnector(force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)

    def teardown(self):
        self.runner.run(self.stop())
        self.runner.close()

    async def stop(self):
        await self.session.close()
        await self.proxy.__aexit__()
        for target in self.targets:
            await target.__aexit__()

    @rule(
        requests=st.lists(REQUESTS, min_size=2, max_size=8),
        index=st.integers(0, TARGETS - 1),
        faults=FAULTS,
    )
    def call_while_a_target_changes(self, requests, index, faults):
        async def run():
            calls = [asyncio.create_task(self.call(each)) for each in requests]
            await asyncio.sleep(0.001)
            await self.targets[index].set_faults(faults)
            self.seen += await asyncio.gather(*calls)
            await self.proxy.detached_tasks.wait()

        self.runner.run(run())

    @rule(index=st.integers(0, TARGETS - 1))
    def mend(self, index):
        faults = TargetFaults(restart_ms=RESTART_MS)
        self.runner.run(self.targets[index].set_faults(faults))

    @rule(is_down=st.booleans(), lost=st.integers(0, 2))
    def change_the_table(self, is_down, lost):
        self.platform.is_down = is_down
        self.platform.lost_answers = lost

    async def call(self, request):
        nonce = f"n-{next(self.numbers)}"
        method = "POST" if request.key else request.method
        headers = {NONCE_HEADER: nonce, TIMEOUT_HEADER: str(request.timeout_ms)}
        if request.crashes:
            headers[CRASH_HEADER] = "1"
        if request.key:
            headers[IDEMPOTENCY_KEY_HEADER] = request.key
        leaves_after_s = request.leaves_after_ms and request.leaves_after_ms / 1000
        try:
            async with (
                asyncio.timeout(leaves_after_s),
                self.session.request(
                    method, self.proxy.url + "/work", headers=headers
                ) as response,
            ):
                body = await response.read()
                return Seen(nonce, request, response.headers[OUTCOME_HEADER], body)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return Seen(nonce, request, None)

    def runs(self):
        return [run for target in self.targets for run in target.record.runs]

    @invariant()
    def what_was_told_not_run_was_not_run(self):
        ran = {run.nonce for run in self.runs()}
        for seen in self.seen:
            if seen.outcome and seen.outcome.startswith("not-run"):
                assert seen.nonce not in ran, seen

    @invariant()
    def what_is_not_idempotent_ran_at_most_once(self):
        counts = Counter(run.nonce for run in self.runs() if run.method != "GET")
        assert all(count == 1 for count in counts.values()), counts
        keys = Counter(
            run.idempotency_key
            for run in self.runs()
            if run.idempotency_key and run.method != "GET"
        )
        assert all(count == 1 for count in keys.values()), keys

    @invariant()
    def answers_are_the_callers_own(self):
        finished = {
            run.nonce for run in self.runs() if run.phase is not RunPhase.STARTED
        }
        for seen in self.seen:
            if seen.outcome != "answered" or seen.request.key:
                continue
            assert seen.nonce in finished, seen
            if seen.body.startswith(b"{"):
                assert f'"nonce": "{seen.nonce}"'.encode() in seen.body


ExchangeOutcomes.TestCase.settings = settings(
    settings.get_profile("ci"), max_examples=70, stateful_step_count=20
)
TestExchangeOutcomes = ExchangeOutcomes.TestCase
