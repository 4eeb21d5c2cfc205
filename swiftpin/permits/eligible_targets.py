"""Targets that are eligible for the requests without a key of a service."""

from __future__ import annotations

from collections.abc import Collection, Set
import math

from swiftpin.core import callback
from swiftpin.permits.service_pace import ServicePace
from swiftpin.permits.target_ranking import TargetRanking
from swiftpin.permits.target_slots import TargetSlots


class EligibleTargets:
    """Sorts the eligible targets into ranked, limited, avoided and unreachable ones.

    A target is limited if it is cold or names a rate limit, avoided for some time after
    a failure, and unreachable while no connection to it can be opened. Limited and
    avoided targets are few; the caller evaluates them one by one, since their state
    depends on the time. All others are ranked.
    """

    def __init__(self, rate_limited_targets: Set[str]) -> None:
        self.ranking = TargetRanking()
        self.pace = ServicePace()
        self.limited: set[str] = set()
        self.avoided: set[str] = set()
        """Targets that are avoided, also those that are limited too."""

        self.unreachable: set[str] = set()
        """Targets that get no requests; neither ranked, limited nor avoided."""

        self.changes = 0
        """Number of changes of the targets and their slots."""

        self._slots_by_target: dict[str, TargetSlots] = {}
        self._rate_limited_targets = rate_limited_targets
        self._seen_rate_limits: frozenset[str] = frozenset()
        self._next_change_at = math.inf

    def __contains__(self, target: str) -> bool:
        """Return whether a target is eligible."""
        return target in self._slots_by_target

    def __len__(self) -> int:
        """Return the number of eligible targets."""
        return len(self._slots_by_target)

    @property
    def names(self) -> Set[str]:
        """Return all eligible targets."""
        return self._slots_by_target.keys()

    @callback
    def reachable_names(self, now: float) -> Set[str]:
        """Return all eligible targets but those that are unreachable."""
        self.refresh(now)
        return self.names - self.unreachable

    @callback
    def reconnect_delay(self, excluded: Set[str], now: float) -> float | None:
        """Return the seconds until a target is tried again if none can be reached.

        Return None if there is no target but the excluded ones, or if one is reachable.
        """
        if not self.unreachable:
            return None
        self.refresh(now)
        names = self.names - excluded
        if not names or not names <= self.unreachable:
            return None
        connects_at = min(self._slots_by_target[name].connects_at for name in names)
        return max(connects_at - now, 0.0)

    @property
    def unranked(self) -> Collection[str]:
        """Return the limited and the avoided targets."""
        return self.limited | self.avoided if self.limited else self.avoided

    @callback
    def replace(self, slots_by_target: dict[str, TargetSlots], now: float) -> None:
        """Replace all targets."""
        self.changes += 1
        for target in self._slots_by_target.keys() - slots_by_target.keys():
            del self._slots_by_target[target]
            self.ranking.remove(target)
            self.pace.remove(target)
            self.limited.discard(target)
            self.avoided.discard(target)
            self.unreachable.discard(target)
        for target, slots in slots_by_target.items():
            self._slots_by_target[target] = slots
            self.update(target, now)

    @callback
    def update(self, target: str, now: float) -> None:
        """Update a target after its slots have changed, if it is eligible."""
        slots = self._slots_by_target.get(target)
        if slots is None:
            return
        self.changes += 1
        if slots.is_unreachable(now):
            self._set_unreachable(target, slots, now)
            return
        self.unreachable.discard(target)
        is_limited = target in self._rate_limited_targets or slots.cold.is_cold(now)
        is_avoided = now < slots.avoided_until
        if is_limited:
            self.limited.add(target)
            self.pace.remove(target)
        else:
            self.limited.discard(target)
            self.pace.set(target, slots)
        if is_avoided:
            self.avoided.add(target)
        else:
            self.avoided.discard(target)
        if is_limited or is_avoided:
            self.ranking.remove(target)
            self._note_next_change(slots, now)
        else:
            self.ranking.set(target, slots)

    @callback
    def update_granted(self, target: str, now: float) -> None:
        """Update a target after a grant, if it is eligible."""
        slots = self._slots_by_target.get(target)
        if slots is None:
            return
        if target in self.limited or target in self.avoided or slots.failed_connections:
            self.update(target, now)
            return
        self.changes += 1
        self.pace.set_granted(target)
        self.ranking.set(target, slots)

    @callback
    def refresh(self, now: float) -> None:
        """Update the targets whose limits or back-off have started or ended."""
        if self._seen_rate_limits != self._rate_limited_targets:
            changed = self._seen_rate_limits ^ self._rate_limited_targets
            self._seen_rate_limits = frozenset(self._rate_limited_targets)
            for target in changed:
                self.update(target, now)
        if now >= self._next_change_at:
            self._next_change_at = math.inf
            for target in [*self.unranked, *self.unreachable]:
                self.update(target, now)

    @callback
    def _set_unreachable(self, target: str, slots: TargetSlots, now: float) -> None:
        """Give a target no requests until it is tried again."""
        self.unreachable.add(target)
        self.ranking.remove(target)
        self.pace.remove(target)
        self.limited.discard(target)
        self.avoided.discard(target)
        if now < slots.connects_at:
            self._next_change_at = min(self._next_change_at, slots.connects_at)

    @callback
    def _note_next_change(self, slots: TargetSlots, now: float) -> None:
        """Note the time at which the state of a target changes by itself."""
        if slots.cold.is_cold(now):
            warm_at = now + slots.cold.remaining(now)
            self._next_change_at = min(self._next_change_at, warm_at)
        if now < slots.avoided_until:
            self._next_change_at = min(self._next_change_at, slots.avoided_until)
