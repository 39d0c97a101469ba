"""Runs a soak for each of a range of seeds; fails if one finds a violation."""

import asyncio
import signal
import sys
from pathlib import Path

from absl import app, flags

from tests.platform_adapter.soak.run import Report, Size, soak

SEED = flags.DEFINE_integer("seed", 1, "First seed.")
COUNT = flags.DEFINE_integer("count", 1, "Number of seeds.", lower_bound=1)
SECONDS = flags.DEFINE_float(
    "seconds", 20.0, "Time with faults in each soak, in seconds.", lower_bound=1
)
DAEMONS = flags.DEFINE_integer(
    "daemons", Size.daemons, "Number of daemons.", lower_bound=2
)
TARGETS = flags.DEFINE_integer(
    "targets", Size.targets, "Number of targets.", lower_bound=3
)
CALLERS = flags.DEFINE_integer(
    "callers", Size.callers, "Number of callers.", lower_bound=1
)
FOLDER = flags.DEFINE_string("folder", None, "Folder for settings and logs.")


async def _soak(seed: int) -> Report:
    """Run one soak; SIGTERM ends it and its daemons."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    folder = Path(FOLDER.value) / str(seed) if FOLDER.value else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    size = Size(DAEMONS.value, TARGETS.value, CALLERS.value)
    return await soak(seed=seed, seconds=SECONDS.value, folder=folder, size=size)


def main(_: list[str]) -> None:
    """Run the soaks one after the other."""
    failed = []
    for seed in range(SEED.value, SEED.value + COUNT.value):
        report = asyncio.run(_soak(seed))
        print(report, flush=True)
        if report.violations:
            failed.append(seed)
    print(f"failed seeds: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(main)
