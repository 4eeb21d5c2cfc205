"""Load of a held group, by slice and by hot key."""

from __future__ import annotations

import math
from typing import Final

from swiftpin.core import callback
from swiftpin.ownership.placement.hot_key import HotKey
from swiftpin.ownership.placement.hot_key_tracker import HotKeyTracker

WINDOW: Final = 30.0
"""Half-life of the measured load in seconds."""

MAX_HOT_KEYS: Final = 64

MIN_HOT_LOAD: Final = 0.1
"""Mean busy slots from which a key can be hot: 5% of a target with two slots."""

NEGLIGIBLE: Final = 1e-6
"""Busy seconds below which a slice counts as idle."""


class LoadMeter:
    """Decaying mean number of busy slots, from the work that this holder sent.

    The targets' own reports lag or are wrong, so only answers that came back count.
    """

    def __init__(self, now: float) -> None:
        self._tracker = HotKeyTracker(now, half_life=WINDOW)
        self._busy_by_slice: dict[int, float] = {}
        self._decayed_at = now

    @callback
    def record(self, slice_id: int, key: str, busy: float, now: float) -> None:
        """Count a request that kept a slot busy for `busy` seconds."""
        self._decay(now)
        self._busy_by_slice[slice_id] = self._busy_by_slice.get(slice_id, 0.0) + busy
        self._tracker.record(key, busy, now)

    @callback
    def load_by_slice(self, now: float) -> dict[int, float]:
        """Return the mean number of busy slots of each slice with load."""
        self._decay(now)
        seconds = WINDOW / math.log(2.0)
        return {
            slice_id: busy / seconds for slice_id, busy in self._busy_by_slice.items()
        }

    @callback
    def hot_keys(self, now: float) -> list[HotKey]:
        """Return the keys with the most load, hottest first.

        In an idle service a single request is most of the load. Its key would be
        split out by a write of the record, every few seconds another one.
        """
        return [
            hot
            for hot in self._tracker.top(MAX_HOT_KEYS, now)
            if hot.load >= MIN_HOT_LOAD
        ]

    @callback
    def _decay(self, now: float) -> None:
        """Let older work fade, at most every second."""
        age = now - self._decayed_at
        if age < 1.0:
            return
        factor = math.exp2(-age / WINDOW)
        self._decayed_at = now
        self._busy_by_slice = {
            slice_id: busy * factor
            for slice_id, busy in self._busy_by_slice.items()
            if busy * factor > NEGLIGIBLE
        }
