"""What a baseline of the comparison answers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from swiftpin.bench.placement.key_loads import KeyLoads


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyPlacement:
    """Owner of each listed key, and each target's load in slots, tail included.

    `owners` are indices into the target names that were given, in the order of the
    keys. `names` are those targets.
    """

    names: tuple[str, ...]
    owners: tuple[int, ...]
    load_by_target: dict[str, float]


class Baseline(Protocol):
    """A way to place keys by hash."""

    name: str

    def place(self, loads: KeyLoads, targets: Sequence[str]) -> KeyPlacement:
        """Return the placement on the targets; it keeps nothing between calls."""


def add_up(
    loads: KeyLoads,
    targets: Sequence[str],
    owners: Sequence[int],
    tail_shares: Sequence[float],
) -> KeyPlacement:
    """Return the placement with listed keys and tail added up for each target.

    `tail_shares` are the targets' shares of the tail and add up to 1.
    """
    load = [loads.tail * share for share in tail_shares]
    for owner, key_load in zip(owners, loads.loads, strict=True):
        load[owner] += key_load
    return KeyPlacement(
        names=tuple(targets),
        owners=tuple(owners),
        load_by_target=dict(zip(targets, load, strict=True)),
    )
