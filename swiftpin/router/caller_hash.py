"""Identification of callers."""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback


@callback
def hash_caller(address: str | None) -> int:
    """Return the hash of a caller's IP address, 0 if the address is not known.

    A caller's retries come over new connections, at any instance. Its address is the
    only thing that stays the same.
    """
    return xxh3_64_intdigest(address) if address else 0
