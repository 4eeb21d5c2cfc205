"""Keys of one service: who has them, and their moves for balance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
import math
from typing import Final

from swiftpin.bench.decisions.event_queue import EventQueue
from swiftpin.bench.decisions.modelled_target import ModelledTarget
from swiftpin.keyranges.assignment import divide_by_weight
from swiftpin.keyranges.const import PLAN_INTERVAL
from swiftpin.keyranges.key_load import KeyLoad
from swiftpin.keyranges.planner import plan_moves
from swiftpin.keyranges.range_assigner import MAX_MERGED_SEGMENTS, MIN_MERGED_SEGMENTS
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_speed import TargetSpeed

REPORT_DELAY: Final = 0.1
"""Seconds until a request counts at the assigner, in the mean."""

CALL_TIME: Final = 0.004
"""Seconds of a release or grant, there and back, and of a write of the record."""

PUBLISH_TIME: Final = 0.02
"""Seconds until all instances know a change of owner."""


class KeyOwners:
    """Plans moves by what it hears of the load, and carries them out."""

    def __init__(
        self, targets_by_name: dict[str, ModelledTarget], clock: EventQueue
    ) -> None:
        self.load = KeyLoad()
        self.speed = TargetSpeed()
        self.moves = 0
        self.moved_keys = 0
        self.on_change: Callable[[], None] = _ignore
        self.leaving: set[str] = set()
        """Targets that are to own no keys."""

        self._targets_by_name = targets_by_name
        self._clock = clock
        self._fence = 1
        self._assignment = divide_by_weight(dict.fromkeys(targets_by_name, 1.0), 0)
        self._held = self._assignment
        self._known = self._assignment
        for target in targets_by_name.values():
            self.add(target)
        clock.after(PLAN_INTERVAL, self._plan)

    def add(self, target: ModelledTarget) -> None:
        """Let a target own keys."""
        target.owns = partial(self._holds, target.name)

    def owner_of(self, key: int) -> str:
        """Return the owner as the instances know it, empty while a key moves."""
        segment = self._known.segment_of(key)
        return "" if segment.former_owner else segment.owner

    def note_request(self, key: int) -> None:
        """Count a request that came."""
        self._clock.after(REPORT_DELAY, lambda: self.load.add({key: 1}))

    def note_time(self, target: str, seconds: float) -> None:
        """Count the time of a request."""
        self._clock.after(
            REPORT_DELAY, lambda: self.speed.add(target, seconds, failed=False)
        )

    def _holds(self, target: str, key: int) -> bool:
        """Return whether a target holds a key."""
        segment = self._held.segment_of(key)
        return segment.owner == target and not segment.former_owner

    def _plan(self) -> None:
        """Plan moves and start them."""
        self._clock.after(PLAN_INTERVAL, self._plan)
        self.load.decay(self._clock.now)
        eligible = [
            target
            for name, target in self._targets_by_name.items()
            if name not in self.leaving
        ]
        limited = {
            target.name: target.cold_rate
            for target in eligible
            if target.cold_until > self._clock.now
        }
        capacities = {
            target.name: min(
                self.speed.capacity(target.name, target.slots),
                limited.get(target.name, math.inf),
            )
            for target in eligible
        }
        bounds = {
            target.name: self.speed.capacity_bounds(target.name, target.slots)
            for target in eligible
        }
        before = self._assignment
        moves = plan_moves(
            before, capacities, self.load.rates_by_key, bounds, limited_targets=limited
        )
        joined, joined_fences = before.with_merged_neighbours(
            self._fence, MAX_MERGED_SEGMENTS
        )
        if not moves and len(joined_fences) < MIN_MERGED_SEGMENTS:
            return
        first_fence = self._fence + len(joined_fences)
        self._fence = first_fence + len(moves)
        self.moves += len(moves)
        self.moved_keys += sum(move.last - move.first + 1 for move in moves)
        self._assignment = joined.with_moves(moves, first_fence)
        self._known = self._held = self._assignment
        self._clock.after(PUBLISH_TIME, self.on_change)
        for segment in self._assignment.segments:
            if segment.former_owner and segment.fence >= first_fence:
                self._release(segment)

    def _release(self, segment: Segment) -> None:
        """Take the keys from their former owner, then grant them."""
        keys = range(segment.first, segment.last + 1)
        source = self._targets_by_name[segment.former_owner]
        self._clock.after(
            CALL_TIME,
            lambda: source.release(
                keys, lambda: self._clock.after(CALL_TIME, lambda: self._grant(segment))
            ),
        )

    def _grant(self, segment: Segment) -> None:
        """Give the keys to their new owner."""
        settled = replace(segment, former_owner="")
        self._assignment = self._assignment.with_replaced(segment, settled)
        self._known = self._held = self._assignment
        self._clock.after(PUBLISH_TIME, self.on_change)


def _ignore() -> None:
    """Do nothing."""
