"""Checks that no header of a target's answer breaks anything or pauses for ever."""

import math

from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from dogwoodhook.platform.headers import PLATFORM_CONVENTIONS
from dogwoodhook.protocol.target_announcements import (
    LeavingAnnouncement,
    PauseAnnouncement,
    UnreadableAnnouncement,
    read_announcements,
)
from dogwoodhook.state.target_availability import MAX_PAUSE_S, Turn, pause_for

VALUES = st.one_of(
    st.text(max_size=20),
    st.floats().map(str),
    st.integers().map(str),
    st.decimals(allow_nan=True).map(str),
    st.sampled_from(["1", " 1 ", "0", "1.5", ".5", "5.", "9" * 400, "Sun, 06 Dec"]),
)


@given(
    st.integers(100, 599), st.lists(VALUES, max_size=3), st.lists(VALUES, max_size=3)
)
def test_any_values_are_read_or_ignored(status, retry_after, leaving):
    headers = CIMultiDict(
        [("Retry-After", value) for value in retry_after]
        + [("Server-Leaving", value) for value in leaving]
    )
    announcements = list(
        read_announcements(status, CIMultiDictProxy(headers), PLATFORM_CONVENTIONS)
    )
    assert len(announcements) <= len(headers)
    for announcement in announcements:
        match announcement:
            case LeavingAnnouncement():
                assert "1" in [value.strip() for value in leaving]
            case PauseAnnouncement(for_s):
                assert status == 503
                pause = pause_for(for_s, place=0.5, now_s=7.0)
                assert 7.0 < pause.returns_s(Turn.OTHER) <= 7.0 + MAX_PAUSE_S + 1.0
                assert math.isfinite(for_s)
            case UnreadableAnnouncement(value=value):
                assert any(value in each for each in [*retry_after, *leaving])
