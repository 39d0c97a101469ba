import datetime
import json
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from expression import Error, Ok

from dogwoodhook.cli.dependencies import Dependencies
from dogwoodhook.cli.program import COMMANDS, run
from dogwoodhook.cli.results import ExitStatus
from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.editing import apply_documents
from dogwoodhook.coordination.platform import Vm, VmPhase
from dogwoodhook.coordination.rows import HEAD_KEY
from dogwoodhook.protocol.documents import parse_document
from dogwoodhook.state.model import Parameters, Template
from dogwoodhook.testing.memory_platform import MemoryPlatform
from dogwoodhook.transport.status import (
    ExplanationReport,
    ServiceReport,
    StatusReport,
    TargetReport,
)

EXAMPLES = Path(__file__).parent.parent / "examples" / "mukamana"
ENVIRONMENT = {
    "DOGWOODHOOK_PLATFORM_URL": "http://127.0.0.1:7000",
    "DOGWOODHOOK_AUTHOR": "amina",
    "DOGWOODHOOK_WAIT_TIMEOUT_S": "0.001",
}

TEMPLATE = """\
[template]
name = "tills"
[template.parameters]
capacity_floor = 2
"""

SERVICE = """\
[service]
name = "payouts"
template = "tills"
workspace = "pohjola"
[service.targets.oulu-1]
payouts-1 = "127.0.0.1:20000"
payouts-2 = "127.0.0.1:20001"
payouts-3 = "127.0.0.1:20002"
[[service.routes]]
path_prefix = "/payouts"
"""


class FakeAdmin:
    """Daemons by admin URL; one without a version refuses the connection."""

    def __init__(self, clock):
        self.clock = clock
        self.versions = {}

    async def status(self, url):
        self.clock.advance(1)
        version = self.versions.get(url)
        return Error("refused") if version is None else Ok(make_status(version))

    async def explain(self, url, service):
        if self.versions.get(url) is None:
            return Error("refused")
        return Ok(ExplanationReport(service=service, lines=["payouts-1 ejected"]))


def make_status(version):
    target = TargetReport(
        name="payouts-1",
        data_centre="oulu-1",
        address="127.0.0.1:20000",
        phase="avoided",
        score=13.5,
        threshold=12.0,
        reason="crashes",
        in_flight=0,
        is_excluded=False,
        why_excluded="",
    )
    service = ServiceReport(capacity_floor=2, queued=0, in_flight=1, targets=[target])
    return StatusReport(
        daemon="vm-1",
        data_centre="oulu-1",
        configuration_version=version,
        is_ready=True,
        reason="",
        in_flight=1,
        services={"payouts": service},
        peers=[],
    )


class Operator:
    """Runs commands against a platform in memory."""

    def __init__(self, directory, capsys):
        self.clock = ManualClock()
        self.platform = MemoryPlatform()
        self.admin = FakeAdmin(self.clock)
        self.directory = directory
        self.capsys = capsys

    def write_file(self, text, name="document.toml"):
        path = self.directory / name
        path.write_text(text)
        return str(path)

    async def run(self, *arguments, environment=ENVIRONMENT):
        dependencies = Dependencies(self.clock, self.open_platform, self.open_admin)
        status = await run(arguments, environment, dependencies)
        captured = self.capsys.readouterr()
        return status, captured.out + captured.err

    async def run_ok(self, *arguments):
        status, output = await self.run(*arguments)
        assert status == ExitStatus.OK, output
        return output

    def head_version(self):
        row = self.platform.table.rows.get(HEAD_KEY)
        return row.value.version if row else 0

    def add_vms(self, *names, phase=VmPhase.LIVE):
        vms = [Vm(name, "admin", f"{name}:8081", "oulu-1", phase) for name in names]
        self.platform.vms += tuple(vms)

    def iso_time(self, seconds):
        moment = self.clock.wall_s() + seconds
        return datetime.datetime.fromtimestamp(moment, datetime.UTC).isoformat()

    @asynccontextmanager
    async def open_platform(self, url, timeout_s):
        yield self.platform

    @asynccontextmanager
    async def open_admin(self):
        yield self.admin


@pytest.fixture
def operator(tmp_path, capsys):
    return Operator(tmp_path, capsys)


@pytest.fixture
async def configured(operator):
    await operator.run_ok("template", "apply", operator.write_file(TEMPLATE))
    await operator.run_ok("service", "apply", operator.write_file(SERVICE))
    return operator


async def test_a_first_template_and_service_are_checked_applied_and_shown(operator):
    template, service = (
        operator.write_file(TEMPLATE, "t"),
        operator.write_file(SERVICE, "s"),
    )
    assert "no findings" in await operator.run_ok("check", template, service)
    assert "version 1" in await operator.run_ok("template", "apply", template)
    assert "version 2" in await operator.run_ok("service", "apply", service)
    shown = await operator.run_ok("service", "show", "payouts")
    assert shown.startswith("# version 2\n")
    assert parse_document(shown, source="shown") == parse_document(SERVICE, source="s")


async def test_every_example_can_be_shown_and_applied_again(operator):
    services = [
        str(each) for each in EXAMPLES.glob("*.toml") if "temp" not in str(each)
    ]
    await operator.run_ok("template", "apply", str(EXAMPLES / "template.toml"))
    assert "version 2" in await operator.run_ok("service", "apply", *services)
    for kind, names in {
        "template": ["mukamana"],
        "service": [Path(each).stem for each in services],
    }.items():
        for name in names:
            shown = operator.write_file(await operator.run_ok(kind, "show", name))
            assert "already in force" in await operator.run_ok(kind, "apply", shown)


async def test_check_reports_findings_of_all_files_with_their_place(operator):
    template = operator.write_file(TEMPLATE.replace("= 2", "= -1"), "t.toml")
    service = operator.write_file(SERVICE.replace("20001", "x"), "s.toml")
    status, output = await operator.run("check", template, service, "absent.toml")
    assert status == ExitStatus.FINDINGS
    assert f"{template}:4 template.parameters.capacity_floor: received -1" in output
    assert f"{service}:7 service.targets.oulu-1.payouts-2: received" in output
    assert "absent.toml: cannot be read" in output


async def test_check_compares_the_files(operator):
    template = operator.write_file(TEMPLATE.replace("= 2", "= 4"), "t.toml")
    service = operator.write_file(SERVICE, "s.toml")
    status, output = await operator.run("check", template, service)
    assert status == ExitStatus.FINDINGS
    assert "received 4, allowed 0..3, the number of targets" in output
    assert "template tills is not among" in await operator.run_ok("check", service)


async def test_a_refused_edit_of_an_older_version_shows_what_changed(configured):
    theirs = configured.write_file(TEMPLATE.replace("= 2", "= 1"))
    await configured.run_ok("template", "apply", theirs, "--expect_version=1")
    mine = configured.write_file(TEMPLATE.replace("= 2", "= 3"))
    arguments = ("template", "apply", mine, "--expect_version=1")
    status, output = await configured.run(*arguments)
    assert status == ExitStatus.REFUSED
    assert "is at version 3, and the edit is based on version 1" in output
    assert "last by amina:\n  parameters.capacity_floor: 2 -> 1" in output
    assert "would now change:\n  parameters.capacity_floor: 1 -> 3" in output
    _, output = await configured.run(*arguments, "--json")
    conflict = json.loads(output)["conflict"]
    assert conflict["key"] == {"kind": "template", "name": "tills"}
    assert configured.head_version() == 3


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
async def test_a_lost_answer_makes_no_second_change(operator, lost):
    file = operator.write_file(TEMPLATE)
    operator.platform.lost_answers = lost
    assert "accepted" in await operator.run_ok("template", "apply", file)
    operator.platform.lost_answers = 0
    assert "already in force" in await operator.run_ok("template", "apply", file)
    assert operator.head_version() == 1


async def test_an_unanswered_change_is_reported_as_unknown(operator):
    file = operator.write_file(TEMPLATE)
    operator.platform.lost_requests = 3
    status, output = await operator.run("template", "apply", file)
    assert status == ExitStatus.UNKNOWN
    assert "Run the same command again" in output
    await operator.run_ok("template", "apply", file)
    assert operator.head_version() == 1


async def test_an_unavailable_platform_is_reported(configured):
    configured.platform.is_down = True
    for arguments in (
        ("template", "apply", configured.write_file(TEMPLATE)),
        ("template", "show", "tills"),
        ("stop", "list"),
        ("history",),
        ("targets",),
    ):
        status, output = await configured.run(*arguments)
        assert status == ExitStatus.UNAVAILABLE
        assert "unavailable" in output


async def test_wait_ends_when_every_live_daemon_has_the_version(operator):
    operator.add_vms("vm-1", "vm-2")
    operator.add_vms("vm-3", phase=VmPhase.LEAVING)
    operator.admin.versions = {"http://vm-1:8081": 1, "http://vm-2:8081": 2}
    file = operator.write_file(TEMPLATE)
    output = await operator.run_ok("template", "apply", file, "--wait")
    assert "in force on 2 daemons" in output


async def test_wait_reports_which_daemons_lag(operator):
    operator.add_vms("vm-1", "vm-2", "vm-3")
    operator.admin.versions = {"http://vm-1:8081": 1, "http://vm-2:8081": 0}
    file = operator.write_file(TEMPLATE)
    status, output = await operator.run("template", "apply", file, "--wait")
    assert status == ExitStatus.WAIT_TIMED_OUT
    assert "not in force on vm-2: has version 0" in output
    assert "not in force on vm-3: refused" in output


def stop_arguments(operator, target, *, start_s=3600, **options):
    return (
        "stop",
        "schedule",
        "payouts",
        target,
        f"--start={operator.iso_time(start_s)}",
        f"--end={operator.iso_time(start_s + 600)}",
        *(f"--{name}={value}" for name, value in options.items()),
    )


async def test_a_stop_is_scheduled_listed_and_cancelled(configured):
    stop = stop_arguments(configured, "payouts-1", name="disk", reason="new disk")
    await configured.run_ok(*stop)
    assert "already in force" in await configured.run_ok(*stop)
    listed = await configured.run_ok("stop", "list", "payouts")
    assert listed.startswith("disk  payouts/payouts-1  ")
    await configured.run_ok("stop", "cancel", "disk")
    assert "no planned stops" in await configured.run_ok("stop", "list")


async def test_a_stop_that_breaks_the_floor_is_refused(configured):
    await configured.run_ok(*stop_arguments(configured, "payouts-1"))
    status, output = await configured.run(*stop_arguments(configured, "payouts-2"))
    assert status == ExitStatus.FINDINGS
    assert "leaves 1 of 3 targets" in output


async def test_an_edit_that_breaks_the_floor_of_a_stop_is_refused(configured):
    await configured.run_ok(*stop_arguments(configured, "payouts-1"))
    raised = configured.write_file(TEMPLATE.replace("= 2", "= 3"))
    status, output = await configured.run("template", "apply", raised)
    assert status == ExitStatus.FINDINGS
    assert "leaves 2 of 3 targets" in output


async def test_a_stop_of_an_unknown_target_or_service_is_refused(configured):
    arguments = list(stop_arguments(configured, "payouts-9", start_s=1))
    status, output = await configured.run(*arguments)
    assert (status, "allowed payouts-1" in output) == (ExitStatus.FINDINGS, True)
    arguments[2] = "till"
    status, output = await configured.run(*arguments)
    assert (status, "the name of a service" in output) == (ExitStatus.FINDINGS, True)


async def test_a_stop_without_end_or_utc_offset_is_refused(configured):
    status, output = await configured.run(
        "stop", "schedule", "payouts", "payouts-1", "--start=2026-12-05T20:00:00"
    )
    assert status == ExitStatus.FINDINGS
    assert "--start: received" in output
    assert "--end: required" in output


async def test_history_shows_who_changed_what(configured):
    other = Template("tills", Parameters(capacity_floor=1))
    clock = configured.clock
    await apply_documents(configured.platform, [other], author="aino", clock=clock)
    await configured.run_ok("service", "remove", "payouts")
    output = await configured.run_ok("history", "template", "tills")
    assert output.splitlines()[0].endswith("aino  template tills")
    assert output.splitlines()[1] == "  parameters.capacity_floor: 2 -> 1"
    output = await configured.run_ok("history", "--limit=1")
    assert "service payouts" in output
    assert "  routes./payouts: listed -> -" in output


async def test_a_template_in_use_is_not_removed(configured):
    status, output = await configured.run("template", "remove", "tills")
    assert status == ExitStatus.FINDINGS
    assert "service.payouts.template: received 'tills'" in output


async def test_targets_and_explain_ask_the_first_daemon_that_answers(configured):
    configured.add_vms("vm-1", "vm-2")
    configured.admin.versions = {"http://vm-2:8081": 2}
    output = await configured.run_ok("targets", "payouts")
    assert "payouts: floor 2 of 1 targets" in output
    assert "13.5/12.0  crashes" in output
    assert await configured.run_ok("explain", "payouts") == "payouts-1 ejected\n"
    report = json.loads(await configured.run_ok("targets", "--json"))
    assert report["services"]["payouts"]["targets"][0]["phase"] == "avoided"


async def test_a_daemon_can_be_queried_while_the_platform_is_down(configured):
    configured.platform.is_down = True
    configured.admin.versions = {"http://vm-2:8081": 2}
    url = "--admin_url=http://vm-2:8081"
    assert "payouts-1" in await configured.run_ok("targets", url)


async def test_commands_on_unknown_names_are_refused(configured):
    configured.admin.versions = {"http://vm-2:8081": 2}
    for arguments in (
        ("template", "show", "till"),
        ("stop", "list", "till"),
        ("targets", "till", "--admin_url=http://vm-2:8081"),
    ):
        status, _ = await configured.run(*arguments)
        assert status == ExitStatus.REFUSED


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("template",),
        ("template", "aply", "x"),
        ("template", "show"),
        ("template", "show", "a", "b"),
        ("template", "show", "a", "--wait"),
        ("history", "--limit=0"),
        ("history", "till", "x"),
        ("service", "apply", str(EXAMPLES / "template.toml")),
    ],
)
async def test_bad_usage_is_a_finding(operator, arguments):
    status, output = await operator.run(*arguments)
    assert status == ExitStatus.FINDINGS
    assert output


async def test_a_flag_overrides_the_environment(operator):
    file = operator.write_file(TEMPLATE)
    await operator.run_ok("template", "apply", file, "--author=aino")
    assert "aino" in await operator.run_ok("history")


async def test_the_platform_url_is_required_without_an_admin_url(operator):
    status, output = await operator.run("targets", environment={})
    assert status == ExitStatus.FINDINGS
    assert "--platform_url: required" in output


@pytest.mark.parametrize("command", COMMANDS, ids=lambda each: " ".join(each.words))
async def test_every_command_shows_its_flags(command, operator):
    with pytest.raises(SystemExit) as caught:
        await operator.run(*command.words, "--help")
    assert caught.value.code == 0
    assert "--json" in operator.capsys.readouterr().out
