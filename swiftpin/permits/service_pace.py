"""Pace of the slots of all targets of a service, kept incrementally."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from typing import Final, NamedTuple

from swiftpin.core import callback
from swiftpin.permits.first_release import FirstRelease
from swiftpin.permits.slot_pace import SlotPace
from swiftpin.permits.target_pace import TargetPace
from swiftpin.permits.target_slots import IDLE_SLOT_TOLERANCE, TargetSlots

MAX_UPDATES: Final = 16
"""Targets whose permits are updated at once after a change of the round-trip time. More
are updated at most once in `UPDATE_INTERVAL`, since it changes with each release."""

UPDATE_INTERVAL: Final = 0.01
"""Seconds between two updates of many targets."""

MAX_CHANGES: Final = 10_000
"""Changes of the sums after which they are added up anew, against rounding errors."""

ROUNDING_MARGIN: Final = 1e-9
"""Relative margin for targets whose permits may change with the round-trip time."""


class _Part(NamedTuple):
    """Contribution of one target to the sums."""

    permits: int
    rate: float
    """Permits per second, 0 if the hold time of the target is not known."""

    unknown: int
    """Permits, if the hold time of the target is not known."""

    open: bool
    """Whether another permit may be granted."""

    unit: float
    """Round-trip time per idle slot of the target, in seconds."""


class ServicePace:
    """Counts the permits and adds up the rates of a service's targets.

    Targets with limits are not contained: their pace depends on the time, and is added
    by the caller.
    """

    def __init__(self) -> None:
        self._slots_by_target: dict[str, TargetSlots] = {}
        self._parts_by_target: dict[str, _Part] = {}
        self._permits = 0
        self._rate = 0.0
        self._unknown = 0
        self._open = 0
        self._units: list[tuple[float, str]] = []
        """Targets by the time at which a change of the round-trip time affects them."""

        self._round_trip = 0.0
        self._next_update_at = 0.0
        self._changes = 0
        self._changed_targets: set[str] = set()
        self._first_release = FirstRelease()

    @callback
    def set(self, target: str, slots: TargetSlots) -> None:
        """Add a target, or update it after its slots have changed."""
        previous = self._parts_by_target.get(target)
        self._slots_by_target[target] = slots
        part = _make_part(slots, self._round_trip)
        self._parts_by_target[target] = part
        if previous is None:
            insort(self._units, (part.unit, target))
        else:
            self._subtract(previous)
            if previous.unit != part.unit:
                del self._units[bisect_left(self._units, (previous.unit, target))]
                insort(self._units, (part.unit, target))
        self._add(part)
        self._changed_targets.add(target)
        self._changes += 1
        if self._changes > MAX_CHANGES:
            self._add_up()

    @callback
    def set_granted(self, target: str) -> None:
        """Update a target after a grant, which changes none of its rates."""
        part = self._parts_by_target[target]
        slots = self._slots_by_target[target]
        if part.open and len(slots.granted_at_by_request) >= part.permits:
            self._parts_by_target[target] = part._replace(open=False)
            self._open -= 1
        self._changed_targets.add(target)

    @callback
    def has_room(self, round_trip: float) -> bool | None:
        """Return whether a target may get another permit, None if not known.

        It is not known while a change of the round-trip time is not applied.
        """
        return self._open > 0 if round_trip == self._round_trip else None

    @callback
    def remove(self, target: str) -> None:
        """Remove a target, if it is contained."""
        part = self._parts_by_target.pop(target, None)
        if part is None:
            return
        del self._slots_by_target[target]
        del self._units[bisect_left(self._units, (part.unit, target))]
        self._subtract(part)
        self._changed_targets.add(target)
        if not self._parts_by_target:
            self._add_up()

    @callback
    def set_round_trip(self, seconds: float, now: float) -> None:
        """Update the permits of the targets that depend on the round-trip time."""
        if seconds == self._round_trip:
            return
        low, high = sorted((self._round_trip, seconds))
        affected: list[str] = []
        for idle_slots in (IDLE_SLOT_TOLERANCE, 1 + IDLE_SLOT_TOLERANCE):
            start = bisect_left(
                self._units, (low / idle_slots * (1 - ROUNDING_MARGIN), "")
            )
            end = bisect_right(
                self._units, (high / idle_slots * (1 + ROUNDING_MARGIN), "")
            )
            affected += [target for _, target in self._units[start:end]]
        if len(affected) > MAX_UPDATES:
            if now < self._next_update_at:
                return
            self._next_update_at = now + UPDATE_INTERVAL
        self._round_trip = seconds
        for target in affected:
            self.set(target, self._slots_by_target[target])

    @callback
    def mean_hold(self, mean_hold: float) -> float | None:
        """Return the hold time of `combine` without limited targets."""
        if not self._permits:
            return None
        return self._permits / (self._rate + self._unknown / mean_hold)

    @callback
    def combine(
        self, limited: Iterable[TargetPace], mean_hold: float, now: float
    ) -> SlotPace | None:
        """Return the pace with that of the limited targets, None without slots.

        `mean_hold` is assumed for targets whose hold time is not known.
        """
        limited = list(limited)
        own_rate = self._rate + self._unknown / mean_hold
        if not limited:
            if not self._permits:
                return None
            return SlotPace(
                free_in=self._free_in(mean_hold, now),
                interval=1 / own_rate,
                hold=self._permits / own_rate,
            )
        slot_rate = own_rate + sum(pace.slot_rate for pace in limited)
        permits = self._permits + sum(pace.max_permits for pace in limited)
        if not permits:
            return None
        return SlotPace(
            free_in=min(
                [self._free_in(mean_hold, now), *(pace.free_in for pace in limited)]
            ),
            interval=1 / (own_rate + sum(pace.max_rate for pace in limited)),
            hold=permits / slot_rate,
            is_rate_limited=not self._parts_by_target
            and all(pace.is_rate_limited for pace in limited),
        )

    @callback
    def _free_in(self, mean_hold: float, now: float) -> float:
        """Return the seconds until another permit may be granted."""
        if self._open:
            return 0.0
        for target in self._changed_targets:
            slots = self._slots_by_target.get(target)
            if slots is None:
                self._first_release.remove(target)
            else:
                granted_at = next(iter(slots.granted_at_by_request.values()), None)
                self._first_release.set(target, granted_at, slots.mean_hold or None)
        self._changed_targets.clear()
        return self._first_release.wait(mean_hold, now)

    @callback
    def _add(self, part: _Part) -> None:
        """Add the contribution of a target."""
        self._permits += part.permits
        self._rate += part.rate
        self._unknown += part.unknown
        self._open += part.open

    @callback
    def _subtract(self, part: _Part) -> None:
        """Subtract the contribution of a target."""
        self._permits -= part.permits
        self._rate -= part.rate
        self._unknown -= part.unknown
        self._open -= part.open

    @callback
    def _add_up(self) -> None:
        """Add up the rates anew."""
        self._changes = 0
        self._rate = sum(part.rate for part in self._parts_by_target.values())


@callback
def _make_part(slots: TargetSlots, round_trip: float) -> _Part:
    """Return the contribution of a target."""
    permits = slots.max_permits(round_trip)
    hold = slots.mean_hold
    return _Part(
        permits,
        permits / hold if hold else 0.0,
        0 if hold else permits,
        len(slots.granted_at_by_request) < permits,
        slots.mean_time / slots.limit if slots.limit else 0.0,
    )
