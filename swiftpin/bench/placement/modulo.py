"""Baseline: hash modulo the number of targets."""

from __future__ import annotations

from collections.abc import Sequence

from swiftpin.bench.placement.baseline import KeyPlacement, add_up
from swiftpin.bench.placement.key_loads import KeyLoads


class Modulo:
    """Key to the target whose number is the hash modulo the number of targets."""

    name = "modulo"

    def place(self, loads: KeyLoads, targets: Sequence[str]) -> KeyPlacement:
        """Return the placement on the targets."""
        count = len(targets)
        owners = [key_hash % count for key_hash in loads.hashes]
        return add_up(loads, targets, owners, [1.0 / count] * count)
