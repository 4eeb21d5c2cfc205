"""Choice of keys by popularity."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random


def zipf_weights(count: int, exponent: float) -> list[float]:
    """Return the relative popularity of `count` keys, the most popular first."""
    return [1.0 / rank**exponent for rank in range(1, count + 1)]


class KeySampler:
    """One worker's part of the keys: every `workers`-th, beginning at `index`.

    No key is in two workers' parts, so that one worker sees every answer to a key and
    can tell for how long it was not served.
    """

    def __init__(
        self, *, keys: int, exponent: float, prefix: str, index: int, workers: int
    ) -> None:
        weights = zipf_weights(keys, exponent)
        ranks = range(index, keys, workers)
        self._keys = [f"{prefix}-{rank}" for rank in ranks]
        self._bounds = list(accumulate(weights[rank] for rank in ranks))
        self.share = self._bounds[-1] / sum(weights)

    def choose(self, random: Random) -> str:
        """Return a key, the popular ones more often."""
        position = bisect(self._bounds, random.random() * self._bounds[-1])
        return self._keys[min(position, len(self._keys) - 1)]
