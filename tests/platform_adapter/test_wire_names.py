"""Names of the platform's protocol are used in the adapter only."""

import re
from pathlib import Path

import dogwoodhook

PACKAGE = Path(dogwoodhook.__file__).parent

WIRE_NAMES = [
    "routeType",
    "targetLatency",
    "weightedBackends",
    "backends?",
    "warmupLeft",
    "configVersion",
    "Request-Id",
    "Deadline-Ms",
    "Expected-Instance",
    "Server-Signature",
    "Not-Executed",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "nodeName",
    "portRange",
    "retryBudgetExtra",
    "Api-Key",
    "Tenant-Id",
    "[tT]enants?",
    "apiKeys",
    "ratePerS",
]


def test_no_wire_name_is_used_outside_the_adapter():
    pattern = re.compile(r"\b(" + "|".join(WIRE_NAMES) + r")\b")
    found = [
        f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
        for path in PACKAGE.rglob("*.py")
        if path.parent.name != "platform"
        for number, line in enumerate(path.read_text().splitlines(), start=1)
        if pattern.search(line)
    ]
    assert found == []


def test_the_adapter_is_under_a_twentieth_of_the_package():
    sizes = {path: len(path.read_text().splitlines()) for path in PACKAGE.rglob("*.py")}
    adapter = sum(
        size for path, size in sizes.items() if path.parent.name == "platform"
    )
    assert adapter < sum(sizes.values()) / 20
