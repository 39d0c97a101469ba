from dogwoodhook.coordination.membership import (
    HEARTBEAT_TIMEOUT_S,
    PEER_RETENTION_S,
    Membership,
)
from dogwoodhook.coordination.messages import Heartbeat


def test_a_silent_peer_is_not_live_and_is_removed_later():
    membership = Membership(daemon="a")
    heartbeat = Heartbeat("b", 7, 0, is_ready=True)
    membership.record_heartbeat(heartbeat, now_s=0.0)
    assert membership.live_peers(now_s=HEARTBEAT_TIMEOUT_S / 2) == (heartbeat,)
    assert membership.live_peers(now_s=HEARTBEAT_TIMEOUT_S) == ()
    membership.remove_silent_peers(now_s=PEER_RETENTION_S)
    assert membership.live_peers(now_s=0.0) == ()
