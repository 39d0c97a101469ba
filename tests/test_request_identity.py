"""A request is identified in the same way each time it is sent."""

from types import SimpleNamespace

import pytest

from dogwoodhook.state.model import Parameters
from dogwoodhook.state.quarantine import fingerprint
from dogwoodhook.transport.calls import read_call

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
        fingerprint(service="s", workspace="w", method="GET", path=each, digest=b"")
        for each in (path, "/payouts/")
    )
    assert first != second
