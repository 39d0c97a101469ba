"""Codec of what daemons of a fleet send one another: CBOR after a keyed digest.

The key is the fleet's secret, so that a daemon can drop anything that was not sent by
another daemon of the fleet.
"""

import hashlib
import hmac
from typing import Annotated, TypeVar

import cbor2
from expression import Error, Ok, Result
from pydantic import Field, TypeAdapter, ValidationError

from dogwoodhook.coordination.compression import compress, decompress
from dogwoodhook.coordination.fleet_messages import DaemonHello, FleetMessage
from dogwoodhook.coordination.fleet_snapshot import FleetSnapshot
from dogwoodhook.coordination.store import StoreRow

DIGEST_BYTES = 8

_ADAPTER: TypeAdapter[FleetMessage] = TypeAdapter(
    Annotated[FleetMessage, Field(discriminator="kind")]
)

_ROW_ADAPTER: TypeAdapter[StoreRow] = TypeAdapter(StoreRow)

_DAEMONS_ADAPTER: TypeAdapter[tuple[DaemonHello, ...]] = TypeAdapter(
    tuple[DaemonHello, ...]
)

MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
"""Maximum size of a snapshot after decompression: 100,000 targets."""

_SNAPSHOT_ADAPTER: TypeAdapter[FleetSnapshot] = TypeAdapter(FleetSnapshot)

# The time in seconds for which a snapshot was held back, and the compressed snapshot.
_HELD_ADAPTER: TypeAdapter[tuple[float, bytes]] = TypeAdapter(
    tuple[Annotated[float, Field(ge=0)], bytes]
)

T = TypeVar("T")


def encode_datagram(message: FleetMessage, *, key: bytes) -> bytes:
    """Return a message as a datagram."""
    return _sign(cbor2.dumps(_ADAPTER.dump_python(message)), key)


def decode_datagram(datagram: bytes, *, key: bytes) -> Result[FleetMessage, str]:
    """Return the message of a datagram, or what is wrong with it.

    >>> from dogwoodhook.coordination.fleet_messages import DaemonHello
    >>> hello = DaemonHello("vm-1", "kigali-1", "10.0.0.1", 7000)
    >>> datagram = encode_datagram(hello, key=b"secret")
    >>> decode_datagram(datagram, key=b"secret").ok == hello
    True
    >>> decode_datagram(datagram, key=b"other").error
    'the digest does not match'
    """
    return _verify_and_decode(datagram, key, _ADAPTER)


def encode_signed_row(row: StoreRow, *, key: bytes) -> bytes:
    """Return a row of the store as CBOR, signed with the key."""
    return _sign(cbor2.dumps(_ROW_ADAPTER.dump_python(row)), key)


def decode_signed_row(signed: bytes, *, key: bytes) -> Result[StoreRow, str]:
    """Return the row that another daemon signed, or what is wrong with it.

    >>> row = StoreRow("config", b"{}", 7)
    >>> signed = encode_signed_row(row, key=b"secret")
    >>> decode_signed_row(signed, key=b"secret").ok == row
    True
    """
    return _verify_and_decode(signed, key, _ROW_ADAPTER)


def encode_signed_daemons(daemons: tuple[DaemonHello, ...], *, key: bytes) -> bytes:
    """Return the addresses of daemons as CBOR, signed with the key."""
    return _sign(cbor2.dumps(_DAEMONS_ADAPTER.dump_python(daemons)), key)


def decode_signed_daemons(
    signed: bytes, *, key: bytes
) -> Result[tuple[DaemonHello, ...], str]:
    """Return the addresses that another daemon signed, or what is wrong with them."""
    return _verify_and_decode(signed, key, _DAEMONS_ADAPTER)


def compress_snapshot(snapshot: FleetSnapshot) -> bytes:
    """Return a snapshot as compressed CBOR."""
    return compress(cbor2.dumps(_SNAPSHOT_ADAPTER.dump_python(snapshot)))


def sign_snapshot(compressed: bytes, *, held_s: float, key: bytes) -> bytes:
    """Return a compressed snapshot with the time since it was made, signed."""
    return _sign(cbor2.dumps([held_s, compressed]), key)


def decode_signed_snapshot(signed: bytes, *, key: bytes) -> Result[FleetSnapshot, str]:
    """Return the snapshot that another daemon signed, or what is wrong with it."""
    match _verify_and_decode(signed, key, _HELD_ADAPTER):
        case Result(tag="ok", ok=(held_s, compressed)):
            return (
                decompress(compressed, limit_bytes=MAX_SNAPSHOT_BYTES)
                .bind(lambda body: _decode(body, _SNAPSHOT_ADAPTER))
                .map(lambda snapshot: snapshot.aged(held_s))
            )
        case Result(error=problem):
            return Error(problem)


def _sign(body: bytes, key: bytes) -> bytes:
    return _digest(body, key) + body


def _verify_and_decode(
    signed: bytes, key: bytes, adapter: TypeAdapter[T]
) -> Result[T, str]:
    digest, body = signed[:DIGEST_BYTES], signed[DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _digest(body, key)):
        return Error("the digest does not match")
    return _decode(body, adapter)


def _decode(body: bytes, adapter: TypeAdapter[T]) -> Result[T, str]:
    try:
        return Ok(adapter.validate_python(cbor2.loads(body)))
    except (cbor2.CBORDecodeError, ValidationError) as error:
        return Error(str(error))


def _digest(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=DIGEST_BYTES).digest()
