"""Finds the hottest keys of a holder in bounded memory."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heappush, heapreplace, nlargest
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.ownership.placement.hot_key import HotKey

DEFAULT_TRACKED_KEYS: Final = 512
DEFAULT_HALF_LIFE: Final = 30.0
KEY_LENGTH_LIMIT: Final = 256
# Half-lives after which the stored weights are scaled back; a float holds 1,023.
_RESCALE_AFTER: Final = 500.0


@dataclass(kw_only=True, slots=True)
class _Counter:
    """Scaled busy seconds of a key, of which `error` may belong to others."""

    weight: float
    error: float


class HotKeyTracker:
    """Space-saving sketch whose counts decay by half every `half_life` seconds.

    It keeps `capacity` keys. A new key takes the place of the lightest and inherits
    its weight as possible error, so a key that carries more than 1/`capacity` of the
    load is always among them. New weights are scaled up rather than old ones down, so
    a record costs no pass over the others. Keys above `KEY_LENGTH_LIMIT` characters
    are not tracked, which bounds the memory.
    """

    def __init__(
        self,
        now: float,
        *,
        capacity: int = DEFAULT_TRACKED_KEYS,
        half_life: float = DEFAULT_HALF_LIFE,
    ) -> None:
        self._capacity = capacity
        self._half_life = half_life
        self._origin = now
        self._counters_by_key: dict[str, _Counter] = {}
        self._heap: list[tuple[float, str]] = []

    @callback
    def record(self, key: str, busy_seconds: float, now: float) -> None:
        """Count work on the key that kept a slot busy for so many seconds."""
        if len(key) > KEY_LENGTH_LIMIT or busy_seconds <= 0.0:
            return
        weight = busy_seconds * self._scale(now)
        counter = self._counters_by_key.get(key)
        if counter is not None:
            counter.weight += weight
            return
        error = 0.0
        if len(self._counters_by_key) >= self._capacity:
            error = self._evict_lightest()
        self._counters_by_key[key] = _Counter(weight=weight + error, error=error)
        heappush(self._heap, (weight + error, key))

    @callback
    def top(self, count: int, now: float) -> list[HotKey]:
        """Return the keys with the highest certain load, the hottest first."""
        scale = self._scale(now)
        # An unchanging load L adds up to L * half_life / ln 2 under the decay.
        seconds = self._half_life / math.log(2.0)
        loads = (
            HotKey(
                key=key,
                load=(counter.weight - counter.error) / scale / seconds,
                load_at_most=counter.weight / scale / seconds,
            )
            for key, counter in self._counters_by_key.items()
        )
        return nlargest(count, loads, key=lambda hot: (hot.load, hot.key))

    def _evict_lightest(self) -> float:
        """Forget the lightest key and return its weight."""
        # Weights only grow, so an entry of the heap is at most its key's weight. One
        # that is lower is renewed; the first that agrees is the lightest.
        while True:
            noted, key = self._heap[0]
            weight = self._counters_by_key[key].weight
            if weight == noted:
                heappop(self._heap)
                del self._counters_by_key[key]
                return weight
            heapreplace(self._heap, (weight, key))

    def _scale(self, now: float) -> float:
        """Return by how much a weight recorded now is scaled up."""
        age = (now - self._origin) / self._half_life
        if age > _RESCALE_AFTER:
            self._rescale(now, age)
            age = 0.0
        return math.exp2(age)

    def _rescale(self, now: float, age: float) -> None:
        """Make now the origin; without this the weights would overflow in hours."""
        factor = math.exp2(-age) if age < 1000.0 else 0.0
        for counter in self._counters_by_key.values():
            counter.weight *= factor
            counter.error *= factor
        self._heap = [
            (counter.weight, key) for key, counter in self._counters_by_key.items()
        ]
        heapify(self._heap)
        self._origin = now
