"""A request is identified in the same way each time it is sent."""

from types import SimpleNamespace

import pytest

from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.model import Parameters
from dogwoodhook.state.quarantine import fingerprint
from dogwoodhook.transport.bodies import RequestBody
from dogwoodhook.transport.calls import read_call
from dogwoodhook.transport.routed_request import RoutedRequest

BUFFER_BYTES = 64 * 1024
BODY = bytes(range(256)) * 1024


class Pieces:
    """A body that arrives in pieces of one size."""

    def __init__(self, body, size):
        self._pieces = [body[at : at + size] for at in range(0, len(body), size)]

    async def read(self, limit):
        return self._pieces.pop(0)[:limit] if self._pieces else b""


class Registry:
    """Registers one service for all paths."""

    def __init__(self):
        parameters = Parameters(replay_buffer_bytes=BUFFER_BYTES)
        service = SimpleNamespace(name="payouts", parameters=parameters)
        self.routes = self
        self.runtime = SimpleNamespace(service=service)

    def match(self, host, path):
        return SimpleNamespace(service="payouts", workspace="oulu")

    def get(self, name):
        return self.runtime


class FakeRequest(dict):
    """A request whose attributes are given."""

    def __init__(self, **attributes):
        super().__init__()
        self.__dict__.update(attributes)


async def fingerprint_of(body, *, piece_bytes, length):
    request = FakeRequest(
        raw_path="/payouts/1",
        host="payouts.example",
        method="POST",
        headers={},
        body_exists=True,
        content=Pieces(body, piece_bytes),
        content_length=length,
    )
    return (await read_call(request, Registry(), now_s=0.0)).ok.fingerprint


@pytest.mark.parametrize("length", [len(BODY), None])
async def test_a_large_body_that_arrives_in_other_pieces_is_another_request(length):
    first = await fingerprint_of(BODY, piece_bytes=64 * 1024, length=length)
    again = await fingerprint_of(BODY, piece_bytes=1460, length=length)
    assert first == again


async def test_large_bodies_of_different_lengths_are_one_request():
    whole = await fingerprint_of(BODY, piece_bytes=1460, length=len(BODY))
    shorter = await fingerprint_of(BODY[:-1], piece_bytes=1460, length=len(BODY) - 1)
    assert whole != shorter


def test_a_path_with_other_bytes_than_utf_8_has_no_fingerprint():
    path = b"/payouts/\xff".decode("utf-8", "surrogateescape")
    first, second = (
        fingerprint(scope="s", workspace="w", method="GET", path=each, digest=b"")
        for each in (path, "/payouts/")
    )
    assert first != second


def identity_of(**changes):
    """Return the identity of a request, of which some properties are changed."""
    sent = {"method": "POST", "host": "tills.example", "caller": "10.0.0.1"}
    sent |= {"uri": "/ledger/5", "body": b"x", "service": "arkisto", **changes}
    request = FakeRequest(method=sent["method"], host=sent["host"])
    return RoutedRequest(
        request=request,
        uri=RequestUri(sent["uri"]),
        request_id="a",
        route=None,
        service=sent["service"],
        body=RequestBody(sent["body"], True, sent["body"], request),
        arrived_s=0.0,
        deadline_s=1.0,
        caller=sent["caller"],
    ).identity


async def test_a_request_is_another_one_at_each_service_of_its_route():
    assert identity_of(service="varasto") == identity_of()
    assert identity_of(host="Tills.Example:80") == identity_of()


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"host": "other.example"},
        {"uri": "/ledger/5?"},
        {"uri": "/ledger%2F5"},
        {"body": b"y"},
    ],
)
async def test_requests_that_differ_are_one_request(changes):
    for one, other in zip(identity_of(), identity_of(**changes), strict=True):
        assert one != other


async def test_a_request_of_another_caller_is_the_same_one_only_without_its_caller():
    one, other = identity_of(), identity_of(caller="10.0.0.2")
    assert one.fingerprint != other.fingerprint
    assert one.any_caller_fingerprint == other.any_caller_fingerprint
