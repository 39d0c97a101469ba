"""Fixes the seeds of property tests, and marks the tests with known faults.

A test that KNOWN-RED.txt lists may fail without failing the run. The run prints its
result.
"""

import pytest
from hypothesis import HealthCheck, settings

from tests.known_red import KNOWN_RED, listed_tests

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


def pytest_collection_modifyitems(items):
    listed = listed_tests(KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))
