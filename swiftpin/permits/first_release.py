"""Time until the first permit of full targets is released."""

from __future__ import annotations

import math

from swiftpin.core import callback
from swiftpin.permits.target_minimum import TargetMinimum
from swiftpin.permits.target_slots import OVERDUE_REMAINING_SHARE


class FirstRelease:
    """Estimates when the first of many targets releases a permit.

    A permit is expected to be outstanding for the hold time of its target and, once it
    is overdue, for a further share of it. Targets are ordered by the time at which
    their oldest permit is due, and overdue ones by hold time. An overdue target is
    only moved when it is the first one: another one can't be the first to release.

    Targets without a hold time of their own use the mean, which changes often; they
    are ordered by the start of their oldest permit.
    """

    def __init__(self) -> None:
        self._holds_by_target: dict[str, float] = {}
        self._due = TargetMinimum()
        self._overdue = TargetMinimum()
        self._started = TargetMinimum()
        self._idle = TargetMinimum()
        """Hold times of the targets that have neither slots nor permits."""

        self._idle_without_hold: set[str] = set()

    @callback
    def set(self, target: str, granted_at: float | None, hold: float | None) -> None:
        """Set the start of a target's oldest permit, if any, and its hold time."""
        self.remove(target)
        match granted_at, hold:
            case None, None:
                self._idle_without_hold.add(target)
            case None, float():
                self._idle.set(target, hold)
            case float() | int(), None:
                self._started.set(target, granted_at)
            case float() | int(), float():
                self._holds_by_target[target] = hold
                self._due.set(target, granted_at + hold)

    @callback
    def remove(self, target: str) -> None:
        """Remove a target, if it is contained."""
        for minimum in (self._due, self._overdue, self._started, self._idle):
            minimum.remove(target)
        self._idle_without_hold.discard(target)
        self._holds_by_target.pop(target, None)

    @callback
    def wait(self, mean_hold: float, now: float) -> float:
        """Return the seconds until the first release, infinity without targets."""
        waits = [mean_hold] if self._idle_without_hold else []
        while (due := self._due.first()) is not None:
            due_at, target = due
            min_wait = self._holds_by_target[target] * OVERDUE_REMAINING_SHARE
            if due_at - now > min_wait:
                waits.append(due_at - now)
                break
            self._due.remove(target)
            self._overdue.set(target, min_wait)
        if (overdue := self._overdue.first()) is not None:
            waits.append(overdue[0])
        if (idle := self._idle.first()) is not None:
            waits.append(idle[0])
        if (started := self._started.first()) is not None:
            min_wait = mean_hold * OVERDUE_REMAINING_SHARE
            waits.append(max(started[0] + mean_hold - now, min_wait))
        return min(waits, default=math.inf)
