"""A service on the stand-in targets of a local fleet."""

from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from dogwoodhook.protocol.headers import OUTCOME_HEADER
from dogwoodhook.state.model import (
    Parameters,
    RequestPattern,
    Route,
    ServiceDefinition,
    Target,
    Template,
)
from dogwoodhook.testing.fleet import HOST, LocalFleet, free_port_range
from dogwoodhook.testing.target_record import RecordBody

PARAMETERS = Parameters(
    capacity_floor=1,
    deadline_ms=60_000,
    idempotent=(RequestPattern("GET", "/*"),),
)


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller received for one request."""

    status: int
    outcome: str
    body: bytes


def service_on(ports):
    targets = tuple(
        Target(f"payouts-{number}", "kigali-1", HOST, port)
        for number, port in enumerate(ports)
    )
    return ServiceDefinition("payouts", "tills", "oulu", targets, (Route("/payouts"),))


@asynccontextmanager
async def running_fleet(*, daemons=2, targets=2, parameters=PARAMETERS):
    ports = free_port_range(targets)
    async with LocalFleet(daemons=daemons, target_ports=[ports]) as fleet:
        template = Template("tills", parameters)
        await fleet.wait_version(await fleet.apply(template, service_on(ports)))
        await fleet.wait_ready()
        async with aiohttp.ClientSession() as session:
            yield fleet, ports, session


async def send_request(session, daemon, path="/payouts", *, method="GET", **options):
    async with session.request(method, daemon.caller_url + path, **options) as response:
        body = await response.read()
        return Reply(response.status, response.headers.get(OUTCOME_HEADER, ""), body)


async def read_record(session, port):
    async with session.get(f"http://{HOST}:{port}/_record?port={port}") as response:
        return RecordBody.model_validate_json(await response.read())


async def read_runs(session, ports):
    records = [await read_record(session, port) for port in ports]
    return [run for record in records for run in record.runs]
