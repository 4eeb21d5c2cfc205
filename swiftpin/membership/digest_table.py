"""Digests by which two instances find out where their objects differ."""

from __future__ import annotations

from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback
from swiftpin.membership.stamp import Stamp

BUCKETS: Final = 128


def bucket_of(name: str) -> int:
    """Return the bucket, 0 to `BUCKETS` - 1, of the object."""
    return xxh3_64_intdigest(name) % BUCKETS


def _digest(name: str, stamp: Stamp) -> int:
    """Return the 64-bit digest of one version of an object."""
    return xxh3_64_intdigest(f"{name}\0{stamp.major}\0{stamp.minor}")


class DigestTable:
    """Exclusive-or of the digests of all objects, in each bucket and in total.

    The operation commutes and is its own inverse, so that an update costs the same
    whatever the number of objects, and the order of updates does not matter.
    """

    def __init__(self) -> None:
        self._digests: list[int] = [0] * BUCKETS
        self._names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._root = 0

    @property
    def root(self) -> int:
        """Return the digest of everything."""
        return self._root

    @property
    def digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._digests)

    @callback
    def replace(self, name: str, old: Stamp | None, new: Stamp) -> None:
        """Count an object's new version in place of its old one."""
        bucket = bucket_of(name)
        change = _digest(name, new)
        if old is not None:
            change ^= _digest(name, old)
        self._digests[bucket] ^= change
        self._root ^= change
        self._names[bucket].add(name)

    @callback
    def differing(self, others: tuple[int, ...]) -> list[int]:
        """Return the buckets whose digest is another than the given one."""
        pairs = zip(self._digests, others, strict=True)
        return [bucket for bucket, (own, other) in enumerate(pairs) if own != other]

    @callback
    def names_in(self, bucket: int) -> frozenset[str]:
        """Return the names of the objects in a bucket."""
        return frozenset(self._names[bucket])
