"""A ring of hashes with virtual nodes."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

VIRTUAL_NODES: Final = 100
_FULL_CIRCLE: Final = 2.0**64


class HashRing:
    """Points of all targets on a circle of 64-bit hashes, in order."""

    def __init__(self, targets: Sequence[str]) -> None:
        points = sorted(
            (xxh3_64_intdigest(f"{name}#{node}"), index)
            for index, name in enumerate(targets)
            for node in range(VIRTUAL_NODES)
        )
        self.points = [point for point, _ in points]
        self.owners = [owner for _, owner in points]

    def position(self, key_hash: int) -> int:
        """Return the position of the first point at or after the hash."""
        return bisect_left(self.points, key_hash) % len(self.points)

    def shares(self, targets: int) -> list[float]:
        """Return each target's share of the circle."""
        shares = [0.0] * targets
        last = self.points[-1] - 2**64
        for point, owner in zip(self.points, self.owners, strict=True):
            shares[owner] += (point - last) / _FULL_CIRCLE
            last = point
        return shares
