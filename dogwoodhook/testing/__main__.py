"""Starts a stand-in or the demo.

::

    python -m dogwoodhook.testing platform --port 7000
    python -m dogwoodhook.testing target --ports 20000-20010 --service_time_ms 5
    python -m dogwoodhook.testing demo
"""

import importlib
import sys
from collections.abc import Callable, Sequence

import uvloop
from absl import flags

from dogwoodhook.testing.platform_server import run_platform
from dogwoodhook.testing.target_server import TargetSettings, run_targets


def _run_platform(arguments: Sequence[str]) -> None:
    values = flags.FlagValues()
    port = flags.DEFINE_integer("port", 7000, "Port to listen on.", flag_values=values)
    lag = flags.DEFINE_integer(
        "vm_list_lag_ms",
        0,
        "Time until a change of the VM list is visible.",
        lower_bound=0,
        flag_values=values,
    )
    values(["platform", *arguments])
    uvloop.run(run_platform(port=port.value, vm_list_lag_ms=lag.value))


def _run_targets(arguments: Sequence[str]) -> None:
    defaults = TargetSettings()
    values = flags.FlagValues()
    port = flags.DEFINE_integer("port", 20000, "Port to listen on.", flag_values=values)
    ports = flags.DEFINE_string(
        "ports",
        None,
        "First and last port of several targets, as in 20000-20010.",
        flag_values=values,
    )
    slots = flags.DEFINE_integer(
        "slots",
        defaults.slots,
        "Number of requests that run at the same time.",
        lower_bound=1,
        flag_values=values,
    )
    queue_limit = flags.DEFINE_integer(
        "queue_limit",
        defaults.queue_limit,
        "Number of requests that wait for a slot.",
        lower_bound=0,
        flag_values=values,
    )
    service_time_ms = flags.DEFINE_float(
        "service_time_ms",
        defaults.service_time_ms,
        "Time that a request takes.",
        lower_bound=0,
        flag_values=values,
    )
    cold_start_ms = flags.DEFINE_integer(
        "cold_start_ms",
        defaults.cold_start_ms,
        "Time after a start during which the target is slow.",
        lower_bound=0,
        flag_values=values,
    )
    report_lag_ms = flags.DEFINE_integer(
        "report_lag_ms",
        defaults.report_lag_ms,
        "Age of the health and load that the target reports.",
        lower_bound=0,
        flag_values=values,
    )
    values(["target", *arguments])
    settings = TargetSettings(
        slots=slots.value,
        queue_limit=queue_limit.value,
        service_time_ms=service_time_ms.value,
        cold_start_ms=cold_start_ms.value,
        report_lag_ms=report_lag_ms.value,
    )
    uvloop.run(run_targets(_port_range(ports.value, port.value), settings))


def _run_demo(arguments: Sequence[str]) -> None:
    demo = importlib.import_module("dogwoodhook.testing.demo")
    demo.main(arguments)


def _port_range(text: str | None, port: int) -> range:
    if text is None:
        return range(port, port + 1)
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


COMMANDS: dict[str, Callable[[Sequence[str]], None]] = {
    "platform": _run_platform,
    "target": _run_targets,
    "demo": _run_demo,
}


def main(arguments: Sequence[str]) -> int:
    """Run the command named by the first argument, and return the exit status."""
    if not arguments or arguments[0] not in COMMANDS:
        received = arguments[0] if arguments else ""
        allowed = ", ".join(COMMANDS)
        print(f"received command {received!r}, allowed {allowed}", file=sys.stderr)
        return 2
    try:
        COMMANDS[arguments[0]](arguments[1:])
    except (flags.Error, ValueError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
