"""Hash function that maps keys to slices."""

from __future__ import annotations

from xxhash import xxh3_64_intdigest


def slice_of(service: str, key: str, slices: int) -> int:
    """Return the number of the key's slice, from 0 to `slices` - 1."""
    return xxh3_64_intdigest(f"{service}\0{key}".encode()) % slices
