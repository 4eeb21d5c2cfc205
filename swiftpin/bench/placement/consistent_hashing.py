"""Baseline: consistent hashing."""

from __future__ import annotations

from collections.abc import Sequence

from swiftpin.bench.placement.baseline import KeyPlacement, add_up
from swiftpin.bench.placement.hash_ring import HashRing
from swiftpin.bench.placement.key_loads import KeyLoads


class ConsistentHashing:
    """Key to the next point of a ring with virtual nodes."""

    name = "consistent hashing"

    def place(self, loads: KeyLoads, targets: Sequence[str]) -> KeyPlacement:
        """Return the placement on the targets."""
        ring = HashRing(targets)
        owners = [ring.owners[ring.position(item)] for item in loads.hashes]
        return add_up(loads, targets, owners, ring.shares(len(targets)))
