"""Estimates of the encoded size of documents."""

from collections.abc import Iterable

from dogwoodhook.state.model import (
    Change,
    Document,
    PlannedStop,
    QuietHours,
    RequestPattern,
    Route,
    ServiceDefinition,
    Target,
    Template,
)

DOCUMENT_BYTES = 1024
"""Allowance for a document's own fields and the numbers of its parameters."""

ITEM_BYTES = 64
"""Allowance for the field names and numbers of a target, route or pattern."""

Item = Target | Route | RequestPattern | QuietHours


def document_bytes(document: Document) -> int:
    """Return an upper estimate of a document's size in a message or row.

    >>> document_bytes(Template("tills"))
    1024
    """
    return DOCUMENT_BYTES + sum(_item_bytes(item) for item in _items(document))


def change_bytes(change: Change) -> int:
    """Return an upper estimate of a change's size in a message or row."""
    keys = len(change.documents) + len(change.removed)
    own = DOCUMENT_BYTES + keys * 2 * ITEM_BYTES
    return own + sum(document_bytes(document) for document in change.documents)


def _items(document: Document) -> Iterable[Item]:
    match document:
        case ServiceDefinition(overrides=overrides):
            patterns = overrides.idempotent or ()
            periods = overrides.quiet_hours or ()
            return (*document.targets, *document.routes, *patterns, *periods)
        case Template(parameters=parameters):
            return (*parameters.idempotent, *parameters.quiet_hours)
        case PlannedStop():
            return ()


def _item_bytes(item: Item) -> int:
    match item:
        case Target():
            texts = (item.name, item.data_centre, item.host)
        case Route():
            texts = (item.path_prefix, item.host, item.workspace or "")
        case RequestPattern():
            texts = (item.method, item.path, "")
        case QuietHours():
            texts = (item.time_zone, "", "")
    return ITEM_BYTES + sum(len(text.encode()) for text in texts)
