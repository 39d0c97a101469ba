"""Whether a target may get a request now, and why not.

The store lists targets and which of them drain. A target may also say in an answer that
it leaves. It is then sent nothing new from that moment on, whatever the store or other
daemons say of it later, until another process replaces it.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Available:
    """The target may get requests."""


@dataclass(frozen=True, slots=True)
class Unlisted:
    """The store does not list the target."""


@dataclass(frozen=True, slots=True)
class Draining:
    """The target drains, according to the store."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """An incarnation of a target said in an answer that it leaves."""

    incarnation: int


Availability = Available | Unlisted | Draining | Leaving


def describe(availability: Availability) -> str:
    """Return why a target gets no request, for logs.

    >>> describe(Leaving(incarnation=7))
    'the target leaves'
    """
    match availability:
        case Available():
            return "the target is available"
        case Unlisted():
            return "the target is not listed"
        case Draining() | Leaving():
            return "the target leaves"
