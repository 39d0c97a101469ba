"""Gray failures, with daemon processes and stand-in targets."""

import asyncio
import signal
from dataclasses import replace

from local_services import PARAMETERS, read_runs, running_fleet, send_request

from dogwoodhook.state.model import KeyedRequestPolicy
from dogwoodhook.state.quarantine import DECISION_DELAY_S
from dogwoodhook.testing.fleet import HOST, wait_for_answer

SHORT_DEADLINE = replace(PARAMETERS, deadline_ms=2_000)


def key_header(key):
    return {"Idempotency-Key": key}


async def phase_of(fleet, daemon, target):
    status = await fleet.status_of(daemon)
    return next(
        each.phase for each in status.services["payouts"].targets if each.name == target
    )


async def test_a_target_that_answers_health_checks_and_fails_work_is_avoided():
    async with running_fleet(targets=4) as (fleet, ports, session):
        await fleet.put_target_faults(ports[0], failing_share=1.0, health="good")
        while await phase_of(fleet, fleet.daemons[1], "payouts-0") != "suspect":
            await send_request(session, fleet.daemons[0])
        answers = [
            await send_request(session, fleet.daemons[1], method="POST")
            for _ in range(30)
        ]
        assert {each.status for each in answers} == {200}


async def test_a_target_that_fails_some_callers_is_avoided():
    async with running_fleet(targets=4) as (fleet, ports, session):
        await fleet.put_target_faults(ports[0], failing_workspaces=["grants"])
        while await phase_of(fleet, fleet.daemons[0], "payouts-0") != "suspect":
            for workspace in ("grants", "payroll", "audit"):
                await send_request(
                    session,
                    fleet.daemons[0],
                    headers={"Dogwoodhook-Workspace": workspace},
                )


async def test_connections_that_go_silent_lose_no_request():
    async with running_fleet(daemons=1, targets=1, parameters=SHORT_DEADLINE) as (
        fleet,
        ports,
        session,
    ):
        daemon = fleet.daemons[0]
        for _ in range(5):
            await send_request(session, daemon)
        await fleet.put_target_faults(ports[0], silences_connections=True)
        assert (
            await send_request(session, daemon, method="POST")
        ).outcome == "answered"
        assert (await send_request(session, daemon)).outcome == "answered"
        assert (await send_request(session, daemon)).outcome == "answered"


async def test_a_request_that_crashes_targets_is_quarantined():
    async with running_fleet(targets=6) as (fleet, ports, session):
        for port in ports:
            await fleet.put_target_faults(port, crash_paths=["/payouts/poison"])
        outcomes = []
        for number in range(8):
            daemon = fleet.daemons[number % 2]
            answer = await send_request(
                session, daemon, "/payouts/poison", method="POST"
            )
            outcomes.append(answer.outcome)
            await asyncio.sleep(0.05)
        assert outcomes[-1] == "not-run; reason=quarantined"
        for port in ports:
            await wait_for_answer(f"http://{HOST}:{port}/healthz")
        runs = await read_runs(session, ports)
        assert len([run for run in runs if run.path == "/payouts/poison"]) <= 2


async def test_a_server_error_clears_a_request_that_crashed_a_target():
    async with running_fleet(targets=6) as (fleet, ports, session):
        daemon = fleet.daemons[0]
        outcomes = []
        for faults in (
            {"crash_paths": ["/payouts/poison"]},
            {"failing_share": 1.0},
            {"crash_paths": ["/payouts/poison"]},
        ):
            for port in ports:
                await wait_for_answer(f"http://{HOST}:{port}/healthz")
                await fleet.put_target_faults(port, **faults)
            answer = await send_request(
                session, daemon, "/payouts/poison", method="POST"
            )
            outcomes.append(answer.outcome)
        await asyncio.sleep(DECISION_DELAY_S)
        answer = await send_request(session, daemon, "/payouts/poison", method="POST")
        assert outcomes[1] == "answered"
        assert answer.outcome == "not-run; reason=quarantined"


async def test_one_key_sent_through_two_daemons_at_once_runs_once():
    async with running_fleet() as (fleet, ports, session):
        for number in range(10):
            headers = key_header(f"key-{number}")
            answers = await asyncio.gather(
                *(
                    send_request(
                        session, daemon, method="POST", headers=headers, data=b"100"
                    )
                    for daemon in fleet.daemons * 2
                )
            )
            outcomes = {each.outcome for each in answers}
            assert "answered" in outcomes
            assert outcomes <= {"answered", "unknown; reason=key-in-progress"}
        assert len(await read_runs(session, ports)) == 10


async def test_a_key_whose_claim_got_no_answer_runs_at_most_once():
    async with running_fleet() as (fleet, ports, session):
        await fleet.put_platform_faults(lost_answers=4)
        headers = key_header("lost")
        for number in range(6):
            daemon = fleet.daemons[number % 2]
            answer = await send_request(session, daemon, method="POST", headers=headers)
            assert answer.outcome != "answered" or answer.status == 200
        assert len(await read_runs(session, ports)) <= 1


async def test_a_keyed_request_is_refused_while_the_table_is_down():
    async with running_fleet(daemons=1) as (fleet, ports, session):
        await fleet.put_platform_faults(is_down=True)
        answer = await send_request(
            session, fleet.daemons[0], method="POST", headers=key_header("k")
        )
        assert answer.outcome == "not-run; reason=table-unreachable"
        assert not await read_runs(session, ports)
        assert (
            await send_request(session, fleet.daemons[0], method="POST")
        ).status == 200


async def test_a_keyed_request_is_forwarded_without_the_table_if_so_configured():
    parameters = replace(
        PARAMETERS, keyed_requests_without_table=KeyedRequestPolicy.FORWARD
    )
    async with running_fleet(daemons=1, parameters=parameters) as (fleet, _, session):
        await fleet.put_platform_faults(is_down=True)
        answer = await send_request(
            session, fleet.daemons[0], method="POST", headers=key_header("k")
        )
        assert answer.outcome == "answered"


async def test_a_keyed_request_is_not_run_again_while_its_daemon_is_frozen():
    async with running_fleet() as (fleet, ports, session):
        frozen, other = fleet.daemons
        for port in ports:
            await fleet.put_target_faults(port, slow_factor=100.0)
        headers = key_header("frozen")
        first = asyncio.create_task(
            send_request(session, frozen, method="POST", headers=headers)
        )
        while not await read_runs(session, ports):
            await asyncio.sleep(0.01)
        frozen.signal(signal.SIGSTOP)
        answer = await send_request(session, other, method="POST", headers=headers)
        assert answer.outcome == "unknown; reason=key-in-progress"
        frozen.signal(signal.SIGCONT)
        assert (await first).outcome == "answered"
        # The caller receives the answer before the key's outcome is stored.
        async with asyncio.timeout(5):
            while answer.outcome == "unknown; reason=key-in-progress":
                answer = await send_request(
                    session, other, method="POST", headers=headers
                )
        assert answer.outcome == "answered"
        assert answer.body == (await first).body
        assert len(await read_runs(session, ports)) == 1
