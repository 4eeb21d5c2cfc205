"""Hashes that break ties the same way on every instance."""

from __future__ import annotations

from xxhash import xxh3_64_intdigest


def tie_hash(*parts: str | int) -> int:
    """Return a 64-bit hash of the parts."""
    return xxh3_64_intdigest("\0".join(map(str, parts)))
