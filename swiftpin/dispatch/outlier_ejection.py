"""Targets that are left out for a while because requests to them fail."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback

FAILURES_IN_A_ROW: Final = 5
FAILURES_WITH_BAD_PROBE: Final = 2
EJECTION_BASE: Final = 5.0
EJECTION_CAP: Final = 60.0
MAX_EJECTED_SHARE: Final = 0.5


@dataclass(kw_only=True, slots=True)
class _Health:
    """Failures in a row, ejections in a row, and times in monotonic seconds."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    probe_failed: bool = False


class OutlierEjection:
    """Ejects a target after several failures in a row, at most half of the pool.

    A probe that fails makes ejection quicker and is never enough for it: probes
    lag, and a target may answer requests while its probe does not.
    """

    def __init__(self) -> None:
        self._health_by_target: dict[str, _Health] = {}

    @callback
    def record(self, target: str, *, failed: bool, now: float) -> None:
        """Take the end of a request into account."""
        health = self._health_by_target.setdefault(target, _Health())
        if not failed:
            health.failures = 0
            health.ejections = 0
            health.ejected_until = float("-inf")
            return
        health.failures += 1
        limit = FAILURES_WITH_BAD_PROBE if health.probe_failed else FAILURES_IN_A_ROW
        if health.failures >= limit and now >= health.ejected_until:
            self._eject(health, now)

    @callback
    def record_probe(self, target: str, *, failed: bool) -> None:
        """Take a probe's answer into account."""
        health = self._health_by_target.setdefault(target, _Health())
        health.probe_failed = failed

    @callback
    def keep_only(self, targets: frozenset[str]) -> None:
        """Forget targets that were removed from the service."""
        for target in self._health_by_target.keys() - targets:
            del self._health_by_target[target]

    @callback
    def in_pool(self, targets: Sequence[str], now: float) -> list[str]:
        """Return the targets to choose from; never empty unless `targets` is.

        When more than half would be left out, the fault is more likely on this side
        or in the load, and leaving out more targets would overload the rest. Those
        whose ejection ends first come back.
        """
        ejected = [target for target in targets if self._until(target) > now]
        allowed = int(len(targets) * MAX_EJECTED_SHARE)
        ejected.sort(key=self._until, reverse=True)
        out = frozenset(ejected[:allowed])
        return [target for target in targets if target not in out]

    def _until(self, target: str) -> float:
        """Return when a target's ejection ends."""
        health = self._health_by_target.get(target)
        return float("-inf") if health is None else health.ejected_until

    @staticmethod
    def _eject(health: _Health, now: float) -> None:
        """Leave a target out, longer each time in a row."""
        length = min(EJECTION_BASE * 2.0**health.ejections, EJECTION_CAP)
        health.ejected_until = now + length
        health.ejections = min(health.ejections + 1, 10)
        # One more failure after the ejection ejects again; a success resets.
        health.failures = FAILURES_IN_A_ROW - 1
