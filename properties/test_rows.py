from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodhook.coordination.rows import (
    ClaimPhase,
    ClaimRow,
    DocumentRow,
    EjectionEntry,
    EjectionPhase,
    EjectionRow,
    Head,
    QuarantineRow,
    StoredAnswer,
    change_key,
)
from dogwoodhook.protocol.documents import parse_document
from dogwoodhook.protocol.rows import RowError, decode_row, encode_row
from dogwoodhook.state.model import Change, DocumentKey, PlannedStop

EXAMPLES = Path(__file__).parent.parent / "examples"


def load_examples(name):
    files = sorted((EXAMPLES / name).glob("*.toml"))
    return [parse_document(file.read_text(), source=file.name).ok for file in files]


ENTRY = EjectionEntry("t1", EjectionPhase.EJECTED, 2, "crashes")

rows = st.sampled_from(
    [
        ("head", Head(7)),
        ("ejection/a", EjectionRow("a", 2, (ENTRY,))),
        ("quarantine/a/f", QuarantineRow("f", "a", 3.5, 2)),
        ("claim/a/w/k", ClaimRow("d", "f", ClaimPhase.IN_PROGRESS, 1.5)),
        ("document/stop/s", DocumentRow(PlannedStop("s", "a", "t", 1.0, 2.0), 4)),
    ]
    + [
        (f"document/{each.kind}/{each.name}", DocumentRow(each, 3))
        for each in (*load_examples("mukamana"), *load_examples("tienvarsikassa"))
    ]
    + [
        (
            change_key(9),
            Change(9, "aino", 1.25, "t", (each,), (DocumentKey("stop", "s"),)),
        )
        for each in load_examples("tienvarsikassa")
    ]
)


@given(rows)
def test_rows_survive_the_table(pair):
    key, row = pair
    assert decode_row(key, encode_row(row)) == row


@given(st.binary(max_size=200))
def test_stored_answers_survive_the_table(body):
    answer = StoredAnswer(201, (("content-type", "text/plain"),), body)
    row = ClaimRow("d", "f", ClaimPhase.SETTLED, 1.5, 201, answer)
    assert decode_row("claim/a/w/k", encode_row(row)) == row


@pytest.mark.parametrize(
    ("key", "value"),
    [("head", {}), ("head", 3), ("nothing/a", {}), ("change/1", {"version": "x"})],
)
def test_what_is_not_a_row_is_refused_with_its_key(key, value):
    with pytest.raises(RowError, match=key):
        decode_row(key, value)
