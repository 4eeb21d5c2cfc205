"""Readiness of an instance whose capacity is nearly used up."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final
from zlib import crc32

from swiftpin.core import callback

WITHDRAW_USAGE: Final = 0.9
"""Used share of the capacity from which an instance reports that it is not ready."""

RESTORE_USAGE: Final = 0.7
"""Used share below which it reports that it is ready again."""

RESTORE_DELAY: Final = 1.0
"""Seconds for which the used share must be below `RESTORE_USAGE`."""

ANNOUNCE_TIME: Final = 1.2
"""Seconds for which other instances are told before an instance isn't ready. Each link
carries a heartbeat in that time."""

UNREADY_DIVISOR: Final = 4
"""At most one instance in this many isn't ready for this reason."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetView:
    """What an instance knows of the others."""

    overloaded: frozenset[str] = frozenset()
    """Incarnations of the other instances that announce to be overloaded."""

    known: int = 0
    """Other instances from which heartbeats arrive."""

    members: int = 0
    """Instances of the fleet as announced by the lease holder, 0 if not known."""


class ReadinessGate:
    """Decides whether an instance reports that it is not ready.

    The load: one instance gets more than it can hold, or all do. In the second case
    readiness would only move the load to fewer instances, and all would be unready in
    the end. Instances that become overloaded at the same time see that of each other
    before any of them is unready; those with the lower incarnations go first. An
    instance that doesn't hear of the whole fleet can't count, so that only a fixed
    quarter of such instances may be unready at all.
    """

    def __init__(self, incarnation: str) -> None:
        self.is_overloaded = False
        """Whether the instance announces that it is, or will be, unready."""

        self.is_withdrawn = False
        self._incarnation = incarnation
        self._announced_at = 0.0
        self._low_since: float | None = None

    @callback
    def update(self, usage: float, fleet: FleetView, now: float) -> None:
        """Update the state with the used share of the capacity."""
        self._update_overload(usage, now)
        if not self.is_overloaded:
            self.is_withdrawn = False
            return
        is_announced = now - self._announced_at >= ANNOUNCE_TIME
        self.is_withdrawn = is_announced and self._may_withdraw(fleet)

    @callback
    def _update_overload(self, usage: float, now: float) -> None:
        """Decide with hysteresis whether the capacity is nearly used up."""
        if not self.is_overloaded:
            if usage >= WITHDRAW_USAGE:
                self.is_overloaded = True
                self._announced_at = now
                self._low_since = None
            return
        if usage >= RESTORE_USAGE:
            self._low_since = None
            return
        if self._low_since is None:
            self._low_since = now
        if now - self._low_since >= RESTORE_DELAY:
            self.is_overloaded = False

    @callback
    def _may_withdraw(self, fleet: FleetView) -> bool:
        """Return whether few enough instances are unready before this one."""
        known = fleet.known + 1
        if known < fleet.members and not _is_in_quarter(self._incarnation):
            return False
        before = sum(name < self._incarnation for name in fleet.overloaded)
        return (before + 1) * UNREADY_DIVISOR <= known


@callback
def _is_in_quarter(incarnation: str) -> bool:
    """Return whether an instance belongs to a fixed quarter of the fleet."""
    return crc32(incarnation.encode()) % UNREADY_DIVISOR == 0
