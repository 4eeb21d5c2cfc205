"""Choice of a target for services that are not divided by key."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.outlier_ejection import OutlierEjection
from swiftpin.dispatch.service_times import ServiceTimes

MIN_LATENCY: Final = 0.001
"""Seconds assumed at least, so that requests in flight count at any target."""
BAD_PROBE_PENALTY: Final = 4.0
"""Factor on the expected time of a target whose last probe failed."""


class TargetBalancer:
    """Power of two choices by own requests in flight and own recent latency.

    Two targets are drawn and the one that should answer sooner is taken. Drawing
    from all and taking the best would send the requests of all instances to the
    same target between two updates.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._times = ServiceTimes()
        self._ejection = OutlierEjection()
        self._in_flight_by_target: dict[str, int] = {}
        self._bad_probes: set[str] = set()

    @callback
    def choose_target(self, targets: Sequence[str], now: float) -> str | None:
        """Return a target, None only when there are none."""
        pool = self._ejection.in_pool(targets, now)
        if not pool:
            return None
        if len(pool) == 1:
            return pool[0]
        first, second = self._rng.sample(pool, 2)
        if self._expected_time(second, now) < self._expected_time(first, now):
            return second
        return first

    @callback
    def start(self, target: str) -> None:
        """Count a request that waits for a target or runs there."""
        self._in_flight_by_target[target] = self.in_flight(target) + 1

    @callback
    def end(
        self, target: str, *, latency: float | None, failed: bool, now: float
    ) -> None:
        """Take the end of a request into account.

        `latency` is in seconds, None when the target did not answer; a connection
        refused at once must not make the target look fast.
        """
        left = self.in_flight(target) - 1
        if left > 0:
            self._in_flight_by_target[target] = left
        else:
            self._in_flight_by_target.pop(target, None)
        if latency is not None:
            self._times.add(target, latency, now)
        self._ejection.record(target, failed=failed, now=now)

    @callback
    def record_probe(self, target: str, *, failed: bool) -> None:
        """Take a probe's answer into account."""
        self._ejection.record_probe(target, failed=failed)
        if failed:
            self._bad_probes.add(target)
        else:
            self._bad_probes.discard(target)

    @callback
    def keep_only(self, targets: frozenset[str]) -> None:
        """Forget targets that were removed from the service."""
        self._ejection.keep_only(targets)
        self._times.keep_only(targets)
        self._bad_probes &= targets

    @callback
    def in_flight(self, target: str) -> int:
        """Return the requests that wait for a target or run there."""
        return self._in_flight_by_target.get(target, 0)

    def _expected_time(self, target: str, now: float) -> float:
        """Return about how long one more request would take in seconds."""
        latency = max(self._times.estimate(target, now), MIN_LATENCY)
        if target in self._bad_probes:
            latency *= BAD_PROBE_PENALTY
        return latency * (self.in_flight(target) + 1)
