"""Zipf weights of more keys than can be listed."""

from __future__ import annotations

from functools import lru_cache
import math
from typing import Final

_EXACT_RANKS: Final = 1_000
_STEPS: Final = 60


@lru_cache(maxsize=1024)
def zipf_total(keys: float, exponent: float) -> float:
    """Return the sum of rank ** -exponent over all ranks up to `keys`.

    The first ranks are added up, the rest integrated (midpoint), for exponents other
    than 1.
    """
    exact = min(int(keys), _EXACT_RANKS)
    total = math.fsum(float(rank) ** -exponent for rank in range(1, exact + 1))
    power = 1.0 - exponent
    rest = math.pow(keys + 0.5, power) - math.pow(exact + 0.5, power)
    return total + rest / power


def exponent_for(top_share: float, keys: float) -> float:
    """Return the exponent at which the first key has `top_share` of all load."""
    low, high = 0.01, 0.99
    for _ in range(_STEPS):
        middle = (low + high) / 2.0
        if 1.0 / zipf_total(keys, middle) < top_share:
            low = middle
        else:
            high = middle
    return low
