"""Content of bundles: bytes that only depend on their place."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Final

from swiftpin.standins.byte_range import ByteRange

CHUNK_SIZE: Final = 64 * 1024
MAX_SIZE: Final = 16 * 1024**3
_SEED: Final = 1
_PERIOD: Final = 1024 * 1024 - 3
"""Bytes after which the content repeats; no multiple of a chunk, so that two chunks
that changed places show."""
_CONTENT: Final = Random(_SEED).randbytes(_PERIOD)
_TWICE: Final = _CONTENT + _CONTENT[:CHUNK_SIZE]


def bundle_chunks(part: ByteRange) -> Iterator[bytes]:
    """Yield the part's bytes in chunks of `CHUNK_SIZE`."""
    for offset in range(part.first, part.end, CHUNK_SIZE):
        place = offset % _PERIOD
        yield _TWICE[place : place + min(CHUNK_SIZE, part.end - offset)]


def parse_bundle_size(text: str) -> int:
    """Return the size in a bundle's path; ValueError if it is none."""
    size = int(text)
    if not 0 <= size <= MAX_SIZE:
        raise ValueError(f"no bundle has {size} bytes")
    return size
