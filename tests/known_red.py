"""The tests that KNOWN-RED.txt lists: known faults that CI passes over and prints."""

from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def listed_tests(text):
    """Return the ids of the tests that the list's text names.

    >>> listed_tests("tests/test_a.py::test_b\\n  seen: it hangs\\n")
    frozenset({'tests/test_a.py::test_b'})
    """
    return frozenset(
        line.split()[0]
        for line in text.splitlines()
        if line.startswith(("tests/", "properties/"))
    )
