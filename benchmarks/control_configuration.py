"""Measures what the configuration costs a daemon in memory, time and bytes.

Run it with ``python -m benchmarks.control_configuration``. It prints, as JSON, each
cost at three sizes, the slope of each series, and the cost that follows for the
planned fleet. It exits with status 1 if a cost grows faster than its size. That is a
ratio within one run, so the bound is valid on any machine.
"""

import gc
import itertools
import json
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

from pydantic_core import from_json

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.configuration import ConfigurationStore
from dogwoodhook.coordination.messages import ConfigurationUpdate
from dogwoodhook.coordination.rows import DocumentRow, change_key, document_row_key
from dogwoodhook.protocol.peer_codec import encode_message
from dogwoodhook.protocol.rows import decode_row, encode_row
from dogwoodhook.state.checks import check_configuration
from dogwoodhook.state.model import (
    Change,
    Configuration,
    DocumentKey,
    DocumentVersion,
    Revision,
    Route,
    ServiceDefinition,
    Target,
    Template,
    document_key,
)
from dogwoodhook.testing.memory_platform import MemoryPlatform

SERVICE_COUNTS = (250, 500, 1000)
TARGET_COUNTS = (20, 40, 80)
ROUTE_COUNTS = (40, 80, 160)

TARGETS_PER_SERVICE = 42
ROUTES_PER_SERVICE = 78

PLANNED_SERVICES = 4_000
PLANNED_TARGETS = 170_000
PLANNED_ROUTES = 310_000
PLANNED_CHANGES_PER_DAY = 41_000

ALLOWED_MEMORY_BYTES = 32_000_000
ALLOWED_CORE_SHARE = 0.029
ALLOWED_BYTES_PER_S = 3_000

REPEATS = 7

_SALTS = itertools.count(1)

MAX_GROWTH_PER_DOUBLING = 2.6
"""Largest ratio of a cost to the same cost at half the size."""


@dataclass(frozen=True, slots=True)
class Series:
    """A cost at three sizes, with the slope and intercept of its regression line."""

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float


def make_service(
    index: int, *, targets: int, routes: int, salt: int = 0
) -> ServiceDefinition:
    """Return a service of a given size; no two services share addresses.

    ``salt`` makes the names of two configurations different, since the JSON parser
    caches strings that it has parsed before.
    """
    return ServiceDefinition(
        name=f"service-{salt}-{index}",
        template="shared",
        workspace=f"workspace-{salt}-{index}",
        targets=tuple(
            Target(
                name=f"target-{salt}-{index}-{number}",
                data_centre=f"centre-{number % 3}",
                host=f"{salt}.{index // 250}.{index % 250}.{number}",
                port=8080,
            )
            for number in range(targets)
        ),
        routes=tuple(
            Route(
                path_prefix=f"/service-{salt}-{index}/path-{number}",
                workspace=f"workspace-{salt}-{index}-{number}",
            )
            for number in range(routes)
        ),
    )


def make_change(version: int, service: ServiceDefinition) -> Change:
    """Return a change of one service."""
    return Change(
        version=version,
        author="aino",
        changed_at_s=1_790_000_000.0,
        token="0123456789abcdef01234567",
        documents=(service,),
        based_on=(DocumentVersion(DocumentKey("service", service.name), version - 1),),
    )


def encoded_documents(services: Sequence[ServiceDefinition]) -> dict[str, str]:
    """Return the services' rows as JSON text, as the table sends them."""
    documents = [Template("shared"), *services]
    return {
        document_row_key(document_key(document)): json.dumps(
            encode_row(DocumentRow(document, 1))
        )
        for document in documents
    }


def decode_configuration(rows: dict[str, str]) -> Configuration:
    """Return the configuration that the rows contain."""
    revisions: dict[DocumentKey, Revision] = {}
    for key, text in rows.items():
        row = decode_row(key, from_json(text))
        assert isinstance(row, DocumentRow)
        revisions[document_key(row.document)] = Revision(row.document, row.version)
    return Configuration(1, revisions)


def make_configuration(count: int, *, targets: int, routes: int) -> Configuration:
    """Return a configuration decoded from rows, as a daemon holds it."""
    services = [make_service(i, targets=targets, routes=routes) for i in range(count)]
    return decode_configuration(encoded_documents(services))


def configuration_memory_bytes(count: int, *, targets: int, routes: int) -> float:
    """Return the memory that a decoded configuration occupies, in bytes."""
    salt = next(_SALTS)
    services = [
        make_service(index, targets=targets, routes=routes, salt=salt)
        for index in range(count)
    ]
    rows = encoded_documents(services)
    del services
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    configuration = decode_configuration(rows)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert configuration.version == 1
    return float(after - before)


def shortest_ms(action: Callable[[], object]) -> float:
    """Return the shortest processor time of several runs, in milliseconds.

    Other processes disturb the shortest run least.
    """
    durations = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        action()
        durations.append((time.process_time() - started_s) * 1000)
    return min(durations)


def adoption_ms(count: int) -> float:
    """Return the time that a daemon needs to adopt one change among many services."""
    configuration = make_configuration(
        count, targets=TARGETS_PER_SERVICE, routes=ROUTES_PER_SERVICE
    )
    store = ConfigurationStore(MemoryPlatform(), ManualClock())
    store.current = configuration
    versions = iter(range(2, 2 + 10 * REPEATS))

    def adopt() -> None:
        for _ in range(10):
            version = next(versions)
            service = make_service(
                version % count, targets=TARGETS_PER_SERVICE, routes=ROUTES_PER_SERVICE
            )
            assert store.adopt_update(
                ConfigurationUpdate((make_change(version, service),))
            )

    def make_changes() -> None:
        for index in range(10):
            make_change(
                2,
                make_service(
                    index, targets=TARGETS_PER_SERVICE, routes=ROUTES_PER_SERVICE
                ),
            )

    return max(0.0, shortest_ms(adopt) - shortest_ms(make_changes)) / 10


def check_ms(count: int) -> float:
    """Return the time that a writer needs to check the whole configuration."""
    configuration = make_configuration(
        count, targets=TARGETS_PER_SERVICE, routes=ROUTES_PER_SERVICE
    )
    return shortest_ms(lambda: check_configuration(configuration))


def decode_change_ms(targets: int, routes: int) -> float:
    """Return the time needed to decode a change's row."""
    change = make_change(7, make_service(1, targets=targets, routes=routes))
    text = json.dumps(encode_row(change))
    key = change_key(7)
    return (
        shortest_ms(lambda: [decode_row(key, from_json(text)) for _ in range(20)]) / 20
    )


def row_bytes(targets: int, routes: int) -> float:
    """Return the size of a change's row in the table."""
    change = make_change(7, make_service(1, targets=targets, routes=routes))
    return float(len(json.dumps(encode_row(change), separators=(",", ":"))))


def update_message_bytes(targets: int, routes: int) -> float:
    """Return the size of a change's message to a peer."""
    change = make_change(7, make_service(1, targets=targets, routes=routes))
    return float(len(encode_message(ConfigurationUpdate((change,)))))


def measure(
    name: str, unit: str, per: str, sizes: Sequence[int], cost: Callable[[int], float]
) -> Series:
    """Measure a cost at each size and fit a line through the values."""
    values = [cost(size) for size in sizes]
    slope, intercept = statistics.linear_regression(sizes, values)
    return Series(name, unit, per, tuple(sizes), tuple(values), slope, intercept)


def measure_all() -> list[Series]:
    """Return every series."""
    few_services = 50
    return [
        measure(
            "held, by services",
            "bytes",
            "service of 42 targets and 78 routes",
            SERVICE_COUNTS,
            lambda n: configuration_memory_bytes(
                n, targets=TARGETS_PER_SERVICE, routes=ROUTES_PER_SERVICE
            ),
        ),
        measure(
            "held by 50 services, by targets",
            "bytes",
            "target in each service",
            TARGET_COUNTS,
            lambda n: configuration_memory_bytes(few_services, targets=n, routes=1),
        ),
        measure(
            "held by 50 services, by routes",
            "bytes",
            "route in each service",
            ROUTE_COUNTS,
            lambda n: configuration_memory_bytes(few_services, targets=1, routes=n),
        ),
        measure("adopt one change", "ms", "service", SERVICE_COUNTS, adoption_ms),
        measure("check everything", "ms", "service", SERVICE_COUNTS, check_ms),
        measure(
            "decode one change, by targets",
            "ms",
            "target",
            TARGET_COUNTS,
            lambda n: decode_change_ms(n, 1),
        ),
        measure(
            "decode one change, by routes",
            "ms",
            "route",
            ROUTE_COUNTS,
            lambda n: decode_change_ms(1, n),
        ),
        measure(
            "row of one change, by targets",
            "bytes",
            "target",
            TARGET_COUNTS,
            lambda n: row_bytes(n, 1),
        ),
        measure(
            "row of one change, by routes",
            "bytes",
            "route",
            ROUTE_COUNTS,
            lambda n: row_bytes(1, n),
        ),
        measure(
            "update for one change, by targets",
            "bytes",
            "target",
            TARGET_COUNTS,
            lambda n: update_message_bytes(n, 1),
        ),
        measure(
            "update for one change, by routes",
            "bytes",
            "route",
            ROUTE_COUNTS,
            lambda n: update_message_bytes(1, n),
        ),
    ]


def planned_costs(series: Sequence[Series]) -> dict[str, float]:
    """Return what a daemon would spend if it held the complete planned fleet."""
    by_name = {each.name: each for each in series}
    changes_per_s = PLANNED_CHANGES_PER_DAY / 86_400
    adopt = by_name["adopt one change"]
    adopt_cost_ms = adopt.slope * PLANNED_SERVICES + adopt.intercept
    decode_cost_ms = _planned_service_cost(by_name, "decode one change")
    message_bytes = _planned_service_cost(by_name, "update for one change")
    targets = by_name["held by 50 services, by targets"].slope / 50
    routes = by_name["held by 50 services, by routes"].slope / 50
    memory = targets * PLANNED_TARGETS + routes * PLANNED_ROUTES
    return {
        "memory_bytes": memory,
        "memory_of_allowance": memory / ALLOWED_MEMORY_BYTES,
        "core_share": (adopt_cost_ms + decode_cost_ms) * changes_per_s / 1000,
        "core_share_allowed": ALLOWED_CORE_SHARE,
        "bytes_per_s": message_bytes * changes_per_s,
        "bytes_per_s_allowed": ALLOWED_BYTES_PER_S,
    }


def _planned_service_cost(by_name: dict[str, Series], prefix: str) -> float:
    """Return a change's cost for a service of the planned size."""
    targets = by_name[f"{prefix}, by targets"]
    routes = by_name[f"{prefix}, by routes"]
    return (
        targets.intercept
        + targets.slope * TARGETS_PER_SERVICE
        + routes.slope * ROUTES_PER_SERVICE
    )


def find_superlinear(series: Sequence[Series]) -> list[str]:
    """Return the names of costs that grow faster than their size."""
    return [
        each.name
        for each in series
        for smaller, larger in zip(each.values, each.values[1:], strict=False)
        if larger > smaller * MAX_GROWTH_PER_DOUBLING
    ]


def main() -> int:
    """Measure and print; return 1 if a cost grows faster than its size."""
    series = measure_all()
    superlinear = find_superlinear(series)
    report = {
        "series": [asdict(each) for each in series],
        "planned_fleet_held_whole": planned_costs(series),
        "grows_faster_than_size": superlinear,
    }
    print(json.dumps(report, indent=2))
    return 1 if superlinear else 0


if __name__ == "__main__":
    sys.exit(main())
