"""Compression of bodies on their way between instances."""

from __future__ import annotations

from typing import Final
import zlib

from swiftpin.membership.malformed_object_error import MalformedObjectError

MAX_BODY: Final = 1024 * 1024
"""Size in bytes above which the store takes no object."""

_FASTEST: Final = 1


def compress_body(body: bytes) -> bytes:
    """Return the body in zlib's format."""
    return zlib.compress(body, _FASTEST)


def expand_body(data: bytes) -> bytes:
    """Return the body of compressed data; raise `MalformedObjectError`.

    The size is limited, since a few bytes may expand to more than the memory.
    """
    expander = zlib.decompressobj()
    try:
        body = expander.decompress(data, MAX_BODY)
    except zlib.error as err:
        raise MalformedObjectError("a body cannot be expanded") from err
    if not expander.eof:
        raise MalformedObjectError("a body is cut short or too large")
    return body
