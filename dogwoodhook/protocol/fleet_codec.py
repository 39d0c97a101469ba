"""What daemons send one another: CBOR behind a keyed digest.

The key is the fleet's own secret, so that what anyone else sends is dropped.
"""

import hashlib
import hmac
from typing import Annotated, TypeVar

import cbor2
from expression import Error, Ok, Result
from pydantic import Field, TypeAdapter, ValidationError

from dogwoodhook.coordination.fleet_messages import FleetMessage
from dogwoodhook.coordination.store import StoreRow

DIGEST_BYTES = 8

_ADAPTER: TypeAdapter[FleetMessage] = TypeAdapter(
    Annotated[FleetMessage, Field(discriminator="kind")]
)

_ROW_ADAPTER: TypeAdapter[StoreRow] = TypeAdapter(StoreRow)

T = TypeVar("T")


def encode_datagram(message: FleetMessage, *, key: bytes) -> bytes:
    """Return a message as a datagram."""
    return _seal(cbor2.dumps(_ADAPTER.dump_python(message, mode="json")), key)


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
    return _unseal(datagram, key, _ADAPTER)


def encode_row(row: StoreRow, *, key: bytes) -> bytes:
    """Return a row of the store, sealed."""
    return _seal(cbor2.dumps(_ROW_ADAPTER.dump_python(row)), key)


def decode_row(sealed: bytes, *, key: bytes) -> Result[StoreRow, str]:
    """Return the row that another daemon sealed, or what is wrong with it.

    >>> row = StoreRow("config", b"{}", 7)
    >>> decode_row(encode_row(row, key=b"secret"), key=b"secret").ok == row
    True
    """
    return _unseal(sealed, key, _ROW_ADAPTER)


def _seal(body: bytes, key: bytes) -> bytes:
    return _digest(body, key) + body


def _unseal(sealed: bytes, key: bytes, adapter: TypeAdapter[T]) -> Result[T, str]:
    digest, body = sealed[:DIGEST_BYTES], sealed[DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _digest(body, key)):
        return Error("the digest does not match")
    try:
        return Ok(adapter.validate_python(cbor2.loads(body)))
    except (cbor2.CBORDecodeError, ValidationError) as error:
        return Error(str(error))


def _digest(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=DIGEST_BYTES).digest()
