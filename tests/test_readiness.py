from dogwoodhook.readiness import Readiness


def test_a_daemon_is_unready_while_there_is_a_reason():
    readiness = Readiness()
    assert not readiness.accepts_requests
    readiness.update(None)
    assert readiness.accepts_requests
    readiness.update("behind")
    assert not readiness.accepts_requests
    assert readiness.reason == "behind"


def test_draining_is_final():
    readiness = Readiness()
    readiness.update(None)
    readiness.drain()
    readiness.update(None)
    assert not readiness.accepts_requests
    assert readiness.reason == "draining"
