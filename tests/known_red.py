"""The tests that KNOWN-RED.txt lists: CI allows them to fail, and prints them."""

from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def listed_tests(text):
    """Return the test ids in the text of the list.

    >>> listed_tests("tests/test_a.py::test_b\\n  seen: it hangs\\n")
    frozenset({'tests/test_a.py::test_b'})
    """
    return frozenset(
        line.split()[0]
        for line in text.splitlines()
        if line.startswith(("tests/", "properties/"))
    )
