"""Compression of what daemons send one another, with a limit on its size."""

import zlib

from expression import Error, Ok, Result

LEVEL = 1
"""The fastest one: the content consists of many similar entries."""


def compress(content: bytes) -> bytes:
    """Return content in compressed form."""
    return zlib.compress(content, LEVEL)


def decompress(compressed: bytes, *, limit_bytes: int) -> Result[bytes, str]:
    """Return the content, or why it cannot be decompressed.

    >>> decompress(compress(b"abc"), limit_bytes=3).ok
    b'abc'
    >>> decompress(compress(b"abcd"), limit_bytes=3).error
    'it is incomplete, or over 3 bytes'
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, limit_bytes)
    except zlib.error as error:
        return Error(str(error))
    if not decompressor.eof:
        return Error(f"it is incomplete, or over {limit_bytes} bytes")
    return Ok(content)
