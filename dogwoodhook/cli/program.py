"""Finds the command, reads its flags and runs it."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from dogwoodhook.cli.check import check
from dogwoodhook.cli.daemons import explain, targets
from dogwoodhook.cli.dependencies import Dependencies, system_dependencies
from dogwoodhook.cli.documents import DocumentCommands
from dogwoodhook.cli.history import history
from dogwoodhook.cli.results import CommandResult, ExitStatus, findings_result
from dogwoodhook.cli.settings import (
    DaemonReadSettings,
    DocumentSettings,
    EditSettings,
    HistorySettings,
    OutputSettings,
    PlatformSettings,
    StopSettings,
)
from dogwoodhook.cli.stops import cancel, list_stops, schedule
from dogwoodhook.findings import Finding, FindingsError
from dogwoodhook.settings import read_settings

MAX_FILES = 10_000

CommandHandler = Callable[[Any, Sequence[str], Dependencies], Awaitable[CommandResult]]


@dataclass(frozen=True, slots=True)
class Command:
    """A command of the command line.

    ``words`` is its name, ``arguments`` shows its arguments in the usage text,
    ``argument_counts`` has the allowed numbers of them, and the fields of ``settings``
    are its flags.
    """

    words: tuple[str, ...]
    arguments: str
    argument_counts: range
    settings: type[OutputSettings]
    run: CommandHandler
    summary: str

    def usage(self) -> str:
        """Return the command's line of the usage text."""
        return " ".join(("dogwoodhook", *self.words, self.arguments)).rstrip()


_TEMPLATES = DocumentCommands("template")
_SERVICES = DocumentCommands("service")

_NONE_OR_ONE = range(2)
_ONE = range(1, 2)
_TWO = range(2, 3)
_FILES = range(1, MAX_FILES)

COMMANDS = (
    Command(
        words=("check",),
        arguments="FILE...",
        argument_counts=_FILES,
        settings=OutputSettings,
        run=check,
        summary="check files offline, alone and against each other",
    ),
    Command(
        words=("template", "apply"),
        arguments="FILE...",
        argument_counts=_FILES,
        settings=DocumentSettings,
        run=_TEMPLATES.apply,
        summary="put templates in force, in one change",
    ),
    Command(
        words=("template", "show"),
        arguments="NAME",
        argument_counts=_ONE,
        settings=PlatformSettings,
        run=_TEMPLATES.show,
        summary="print a template and its version",
    ),
    Command(
        words=("template", "remove"),
        arguments="NAME",
        argument_counts=_ONE,
        settings=DocumentSettings,
        run=_TEMPLATES.remove,
        summary="remove a template that no service uses",
    ),
    Command(
        words=("service", "apply"),
        arguments="FILE...",
        argument_counts=_FILES,
        settings=DocumentSettings,
        run=_SERVICES.apply,
        summary="put services in force, in one change",
    ),
    Command(
        words=("service", "show"),
        arguments="NAME",
        argument_counts=_ONE,
        settings=PlatformSettings,
        run=_SERVICES.show,
        summary="print a service and its version",
    ),
    Command(
        words=("service", "remove"),
        arguments="NAME",
        argument_counts=_ONE,
        settings=DocumentSettings,
        run=_SERVICES.remove,
        summary="remove a service",
    ),
    Command(
        words=("stop", "schedule"),
        arguments="SERVICE TARGET",
        argument_counts=_TWO,
        settings=StopSettings,
        run=schedule,
        summary="schedule a planned stop of a target",
    ),
    Command(
        words=("stop", "cancel"),
        arguments="NAME",
        argument_counts=_ONE,
        settings=EditSettings,
        run=cancel,
        summary="cancel a planned stop",
    ),
    Command(
        words=("stop", "list"),
        arguments="[SERVICE]",
        argument_counts=_NONE_OR_ONE,
        settings=PlatformSettings,
        run=list_stops,
        summary="list planned stops",
    ),
    Command(
        words=("targets",),
        arguments="[SERVICE]",
        argument_counts=_NONE_OR_ONE,
        settings=DaemonReadSettings,
        run=targets,
        summary="print each target's state and its reason",
    ),
    Command(
        words=("explain",),
        arguments="SERVICE",
        argument_counts=_ONE,
        settings=DaemonReadSettings,
        run=explain,
        summary="print what was done to a service's targets, and why",
    ),
    Command(
        words=("history",),
        arguments="[KIND NAME]",
        argument_counts=range(3),
        settings=HistorySettings,
        run=history,
        summary="print who changed what, field by field",
    ),
)


async def run(
    arguments: Sequence[str],
    environment: Mapping[str, str],
    dependencies: Dependencies | None = None,
) -> int:
    """Run the command that the arguments name; return the exit status."""
    command = find_command(arguments)
    if command is None:
        return _show_usage(arguments)
    rest = arguments[len(command.words) :]
    try:
        settings, operands = read_settings(
            command.settings, [command.usage(), *rest], environment
        )
    except FindingsError as error:
        findings_result(error.findings).write(as_json="--json" in rest)
        return ExitStatus.FINDINGS
    if len(operands) not in command.argument_counts:
        result = findings_result([_count_finding(command, operands)])
    else:
        used = dependencies or system_dependencies()
        result = await command.run(settings, operands, used)
    result.write(as_json=settings.as_json)
    return result.status


def find_command(arguments: Sequence[str]) -> Command | None:
    """Return the command whose words the arguments begin with."""
    for command in COMMANDS:
        if tuple(arguments[: len(command.words)]) == command.words:
            return command
    return None


def usage_text() -> str:
    """Return the usage text: every command with its summary."""
    width = max(len(command.usage()) for command in COMMANDS)
    lines = [f"  {each.usage():<{width}}  {each.summary}" for each in COMMANDS]
    return "\n".join(
        [
            "usage: dogwoodhook COMMAND [ARGUMENTS] [FLAGS]",
            *lines,
            "Each command shows its flags with --help. A flag may also be set as",
            "DOGWOODHOOK_<FLAG>; the flag goes first.",
        ]
    )


def _show_usage(arguments: Sequence[str]) -> int:
    if arguments and arguments[0] in ("--help", "-h", "help"):
        print(usage_text())
        return ExitStatus.OK
    received = " ".join(arguments) or "nothing"
    words = ", ".join(" ".join(command.words) for command in COMMANDS)
    message = f"received {received!r}, allowed: {words}"
    findings_result([Finding("command", message)]).write(as_json=False)
    return ExitStatus.FINDINGS


def _count_finding(command: Command, operands: Sequence[str]) -> Finding:
    received = " ".join(operands) or "nothing"
    return Finding("arguments", f"received {received!r}, allowed: {command.usage()}")
