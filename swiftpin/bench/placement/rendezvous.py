"""Baseline: rendezvous hashing."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.bench.placement.baseline import KeyPlacement, add_up
from swiftpin.bench.placement.key_loads import KeyLoads

_MASK: Final = 2**64 - 1
_MIX: Final = 0x9E3779B97F4A7C15
# Pairs of key and place that are hashed; keys beyond that are drawn.
_PAIR_LIMIT: Final = 16_000_000


class Rendezvous:
    """Key to the target with the highest hash of the pair.

    Hashing every pair takes too long for large sizes. The keys beyond the limit, never
    the hot ones, are then drawn from a table with room for twice the targets, again
    and again until a taken place comes up. That spreads keys evenly and a lost or
    added target changes only its own keys, as the method itself does.
    """

    name = "rendezvous"

    def place(self, loads: KeyLoads, targets: Sequence[str]) -> KeyPlacement:
        """Return the placement on the targets."""
        table = _table(targets)
        # The table's length stays the same when one target comes or goes. Counted by
        # the targets themselves, some keys would change from one way to the other.
        exact = max(loads.hot, _PAIR_LIMIT // len(table))
        seeds = [xxh3_64_intdigest(name) for name in targets]
        owners = [_highest(key_hash, seeds) for key_hash in loads.hashes[:exact]]
        owners += [_drawn(key_hash, table) for key_hash in loads.hashes[exact:]]
        count = len(targets)
        return add_up(loads, targets, owners, [1.0 / count] * count)


def _highest(key_hash: int, seeds: list[int]) -> int:
    """Return the index of the target with the highest hash."""
    best, best_hash = 0, -1
    for index, seed in enumerate(seeds):
        mixed = ((key_hash ^ seed) * _MIX) & _MASK
        mixed = ((mixed ^ (mixed >> 29)) * _MIX) & _MASK
        if mixed > best_hash:
            best, best_hash = index, mixed
    return best


def _table(targets: Sequence[str]) -> list[int]:
    """Return the index of the target in each place, -1 for free places.

    The place is the number in the name, so it does not depend on the other targets.
    """
    table = [-1] * (2 << len(targets).bit_length())
    for index, name in enumerate(targets):
        table[int(name.lstrip("t"))] = index
    return table


def _drawn(key_hash: int, table: list[int]) -> int:
    """Return the first taken place that the key's own sequence of draws comes to."""
    owner = -1
    while owner < 0:
        key_hash = ((key_hash ^ (key_hash >> 31)) * _MIX + 1) & _MASK
        owner = table[(key_hash >> 20) % len(table)]
    return owner
