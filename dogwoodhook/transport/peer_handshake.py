"""Handshake by which two daemons prove to each other that they know the fleet secret.

The listener sends a nonce. The dialler replies with its name, a nonce of its own and
the keyed digest of the listener's nonce. The listener replies with the keyed digest
of the dialler's nonce. The secret itself is never sent.
"""

import hashlib
import hmac
import secrets
from typing import TypeVar

import cbor2
from pydantic import BaseModel, ConfigDict, ValidationError
from websockets.asyncio.connection import Connection

NONCE_BYTES = 16
_DIALLER = b"dialler"
_LISTENER = b"listener"

_Model = TypeVar("_Model", bound=BaseModel)


class HandshakeError(Exception):
    """The other side did not prove that it knows the fleet secret."""


class _Challenge(BaseModel):
    model_config = ConfigDict(extra="forbid")

    nonce: bytes


class _Proof(BaseModel):
    model_config = ConfigDict(extra="forbid")

    daemon: str
    nonce: bytes
    digest: bytes


class _Confirmation(BaseModel):
    model_config = ConfigDict(extra="forbid")

    digest: bytes


async def accept_handshake(connection: Connection, secret: str) -> str:
    """Run the listener's side of the handshake, and return the dialler's name."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _send(connection, _Challenge(nonce=nonce))
    proof = await _receive(connection, _Proof)
    expected = _digest(secret, _DIALLER, nonce, proof.daemon)
    if not hmac.compare_digest(expected, proof.digest):
        raise HandshakeError(f"wrong digest from {proof.daemon!r}")
    confirmation = _digest(secret, _LISTENER, proof.nonce, proof.daemon)
    await _send(connection, _Confirmation(digest=confirmation))
    return proof.daemon


async def start_handshake(connection: Connection, secret: str, *, daemon: str) -> None:
    """Run the dialler's side of the handshake; ``daemon`` is its own name."""
    challenge = await _receive(connection, _Challenge)
    nonce = secrets.token_bytes(NONCE_BYTES)
    digest = _digest(secret, _DIALLER, challenge.nonce, daemon)
    await _send(connection, _Proof(daemon=daemon, nonce=nonce, digest=digest))
    confirmation = await _receive(connection, _Confirmation)
    expected = _digest(secret, _LISTENER, nonce, daemon)
    if not hmac.compare_digest(expected, confirmation.digest):
        raise HandshakeError("wrong digest from the listener")


def _digest(secret: str, side: bytes, nonce: bytes, daemon: str) -> bytes:
    message = side + nonce + daemon.encode()
    return hmac.digest(secret.encode(), message, hashlib.sha256)


async def _send(connection: Connection, model: BaseModel) -> None:
    await connection.send(cbor2.dumps(model.model_dump()))


async def _receive(connection: Connection, model: type[_Model]) -> _Model:
    frame = await connection.recv()
    try:
        return model.model_validate(
            cbor2.loads(frame if isinstance(frame, bytes) else b"")
        )
    except (cbor2.CBORDecodeError, ValidationError) as error:
        raise HandshakeError(f"invalid {model.__name__} message: {error}") from None
