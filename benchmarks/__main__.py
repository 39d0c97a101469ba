"""Runs every benchmark in turn; exits with status 1 if one missed a bound.

python -m benchmarks              # all
python -m benchmarks latency      # some
"""

import subprocess
import sys

BENCHMARKS = (
    "latency",
    "detection",
    "overload",
    "even_load",
    "crowding",
    "quarantine",
    "control_configuration",
    "control_ejection",
    "control_fleet",
    "propagation",
)


def main(names: list[str]) -> int:
    """Run the named benchmarks, or all; return the exit status."""
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"unknown: {', '.join(unknown)}; allowed: {', '.join(BENCHMARKS)}")
        return 2
    missed = []
    for name in names or BENCHMARKS:
        print(f"== {name}", flush=True)
        # Each benchmark runs in its own process, so that none is affected by another.
        if subprocess.run([sys.executable, "-m", f"benchmarks.{name}"]).returncode:
            missed.append(name)
    print(f"missed a bound: {', '.join(missed)}" if missed else "every bound holds")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
