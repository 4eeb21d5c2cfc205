"""Schedule of an open loop."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random


def arrival_times(
    *, rate: float, start: float, duration: float, random: Random
) -> Iterator[float]:
    """Yield Poisson arrivals at `rate` a second, in monotonic seconds.

    The times depend on nothing but the seed, so slow answers never thin out the load.
    """
    at = start
    while True:
        at += random.expovariate(rate)
        if at >= start + duration:
            return
        yield at
