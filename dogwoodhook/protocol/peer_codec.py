"""CBOR codec of the messages between daemons.

A frame is one CBOR map with the message's ``kind``. Frames from peers are validated
when they are decoded; a frame that does not validate is an error of the connection,
not of the daemon.
"""

from typing import Annotated

import cbor2
from expression import Error, Ok, Result
from pydantic import Field, TypeAdapter, ValidationError

from dogwoodhook.coordination.messages import Message

MAX_FRAME_BYTES = 1024 * 1024

_ADAPTER: TypeAdapter[Message] = TypeAdapter(
    Annotated[Message, Field(discriminator="kind")]
)


def encode_message(message: Message) -> bytes:
    """Return a message as one CBOR frame."""
    return cbor2.dumps(_ADAPTER.dump_python(message, mode="json"))


def decode_message(frame: bytes) -> Result[Message, str]:
    """Return the message of a frame, or what is wrong with it.

    >>> from dogwoodhook.coordination.messages import ConfigurationRequest
    >>> frame = encode_message(ConfigurationRequest(after_version=3))
    >>> decode_message(frame).ok.after_version
    3
    """
    try:
        return Ok(_ADAPTER.validate_python(cbor2.loads(frame)))
    except (cbor2.CBORDecodeError, ValidationError) as error:
        return Error(str(error))
