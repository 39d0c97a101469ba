"""Datagrams between daemons: CBOR behind a keyed digest.

The key is the fleet's own secret, so that a datagram from anyone else is dropped.
"""

import hashlib
import hmac
from typing import Annotated

import cbor2
from expression import Error, Ok, Result
from pydantic import Field, TypeAdapter, ValidationError

from dogwoodhook.coordination.fleet_messages import FleetMessage

DIGEST_BYTES = 8

_ADAPTER: TypeAdapter[FleetMessage] = TypeAdapter(
    Annotated[FleetMessage, Field(discriminator="kind")]
)


def encode_datagram(message: FleetMessage, *, key: bytes) -> bytes:
    """Return a message as a datagram."""
    body = cbor2.dumps(_ADAPTER.dump_python(message, mode="json"))
    return _digest(body, key) + body


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
    digest, body = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _digest(body, key)):
        return Error("the digest does not match")
    try:
        return Ok(_ADAPTER.validate_python(cbor2.loads(body)))
    except (cbor2.CBORDecodeError, ValidationError) as error:
        return Error(str(error))


def _digest(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=DIGEST_BYTES).digest()
