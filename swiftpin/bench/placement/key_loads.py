"""The load of one moment, by key."""

from __future__ import annotations

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from swiftpin.bench.placement.options import PlacementOptions
from swiftpin.bench.placement.zipf import exponent_for, zipf_total


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyLoads:
    """Hashes and loads (slots) of the heaviest keys and the sum of all others.

    The first `hot` keys are the hot ones, by rank. `tail` is the load of all keys not
    listed, each so light that hashing spreads them evenly. `exponent` is Zipf's.
    """

    hashes: tuple[int, ...]
    loads: tuple[float, ...]
    hot: int
    tail: float
    exponent: float

    @property
    def total(self) -> float:
        """Return the load of all keys."""
        return sum(self.loads) + self.tail


def make_key_loads(
    targets: int,
    generation: int,
    options: PlacementOptions,
    exponent: float | None = None,
) -> KeyLoads:
    """Return the load with the generation's set of hot keys.

    Ranks after the hot keys stay with the same keys in every generation. As many are
    listed as the service has slices. Without an exponent it is the one at which the
    hottest key has `options.top_share` of a mean target's load.
    """
    keys = options.keys_per_target * targets
    if exponent is None:
        exponent = exponent_for(options.top_share / targets, keys)
    total_load = options.target_load * targets
    unit = total_load / zipf_total(keys, exponent)
    listed = options.slices_per_target * targets + options.hot_keys
    loads = tuple(unit * rank**-exponent for rank in range(1, listed + 1))
    names = [
        f"{options.seed}:hot:{generation}:{rank}" for rank in range(options.hot_keys)
    ]
    names += [f"{options.seed}:key:{rank}" for rank in range(options.hot_keys, listed)]
    return KeyLoads(
        hashes=tuple(map(xxh3_64_intdigest, names)),
        loads=loads,
        hot=options.hot_keys,
        tail=total_load - sum(loads),
        exponent=exponent,
    )
