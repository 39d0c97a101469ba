"""Pure decisions over data classes; clock and random source are arguments.

The data model is exported here; each decision is in a module of its own.

>>> from dogwoodhook.state import Parameters, Template
>>> Template("tills", Parameters(capacity_floor=2)).parameters.capacity_floor
2
"""

from dogwoodhook.state.model import (
    Change,
    Configuration,
    DocumentKey,
    KeyedRequestPolicy,
    ParameterOverrides,
    Parameters,
    PlannedStop,
    QuietHours,
    RequestPattern,
    Route,
    Service,
    ServiceDefinition,
    Target,
    Template,
)
from dogwoodhook.state.outcomes import (
    Answered,
    Failure,
    FailureKind,
    NotRun,
    NotRunReason,
    Outcome,
    Success,
    Unknown,
    UnknownReason,
)

__all__ = [
    "Answered",
    "Change",
    "Configuration",
    "DocumentKey",
    "Failure",
    "FailureKind",
    "KeyedRequestPolicy",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "ParameterOverrides",
    "Parameters",
    "PlannedStop",
    "QuietHours",
    "RequestPattern",
    "Route",
    "Service",
    "ServiceDefinition",
    "Success",
    "Target",
    "Template",
    "Unknown",
    "UnknownReason",
]
