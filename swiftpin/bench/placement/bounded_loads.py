"""Baseline: consistent hashing with bounded loads."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.bench.placement.baseline import KeyPlacement
from swiftpin.bench.placement.hash_ring import HashRing
from swiftpin.bench.placement.key_loads import KeyLoads

# How far above the mean load a target may come; the goal of the experiment.
BOUND: Final = 1.15


class BoundedLoads:
    """Key to the next point of the ring whose target has room for its load.

    The heaviest keys are placed first, which is the order that suits the method. The
    tail is placed in equal parts, as many as there are listed keys.
    """

    name = "bounded loads"

    def place(self, loads: KeyLoads, targets: Sequence[str]) -> KeyPlacement:
        """Return the placement on the targets; `owners` ends with the tail's parts."""
        ring = HashRing(targets)
        parts = len(loads.hashes)
        hashes = [
            *loads.hashes,
            *(xxh3_64_intdigest(f"tail:{i}") for i in range(parts)),
        ]
        weights = [*loads.loads, *([loads.tail / parts] * parts)]
        limit = BOUND * loads.total / len(targets)
        load = [0.0] * len(targets)
        owners = [
            _take(ring, key_hash, weight, load, limit)
            for key_hash, weight in zip(hashes, weights, strict=True)
        ]
        return KeyPlacement(
            names=tuple(targets),
            owners=tuple(owners),
            load_by_target=dict(zip(targets, load, strict=True)),
        )


def _take(
    ring: HashRing, key_hash: int, weight: float, load: list[float], limit: float
) -> int:
    """Return the owner and count the weight for it."""
    start = ring.position(key_hash)
    points = len(ring.points)
    owner = ring.owners[start]
    for step in range(points):
        candidate = ring.owners[(start + step) % points]
        if load[candidate] + weight <= limit:
            owner = candidate
            break
    load[owner] += weight
    return owner
