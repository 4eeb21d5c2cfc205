"""A simulated target with rate limits and the requests that it got."""

from __future__ import annotations

from dataclasses import dataclass, field
import math
from typing import Final

from tests.router.limit_instance import SETTLE_TIME, Instance
from tests.router.limit_window import WINDOW, max_requests

TOLD_TIME: Final = 0.5
"""Seconds after an instance passed on such an answer from which its requests count."""


@dataclass(kw_only=True)
class Arrival:
    """A request that reached a target."""

    at: float
    instance: Instance
    is_excused: bool


@dataclass(kw_only=True)
class LimitedTarget:
    """A target, the limits that it named over time and the requests that it got."""

    name: str
    limits: list[tuple[float, float]] = field(default_factory=list)
    """Times at which the target began to name a limit, and the limits."""

    arrivals: list[Arrival] = field(default_factory=list)
    first_named_at: float = math.inf

    def limit_at(self, now: float) -> float:
        """Return the limit that the target names, or infinity."""
        return max(
            ((at, it) for at, it in self.limits if at <= now), default=(0, math.inf)
        )[1]

    def highest_limit(self, start: float, end: float) -> float:
        """Return the highest limit named between two times."""
        changes = [limit for at, limit in self.limits if start < at <= end]
        return max([self.limit_at(start), *changes])

    def worst_window(self) -> tuple[float, int, float] | None:
        """Return excess, requests and allowed requests of the target's worst window."""
        worst: tuple[float, int, float] | None = None
        for last in self.arrivals:
            if last.at < self.first_named_at + SETTLE_TIME:
                continue
            start = last.at - WINDOW
            limit = self.highest_limit(start - SETTLE_TIME, last.at)
            if math.isinf(limit):
                continue
            requests = sum(
                start < arrival.at <= last.at and _counts(self, arrival, last.at)
                for arrival in self.arrivals
            )
            allowed = max_requests(limit)
            if worst is None or requests - allowed > worst[0]:
                worst = (requests - allowed, requests, allowed)
        return worst


def _counts(target: LimitedTarget, arrival: Arrival, end: float) -> bool:
    """Return whether a request counts in a window.

    Requests of an instance count once it has passed on an answer with a limit, except
    for those sent right after its start or a freeze.
    """
    told_at = arrival.instance.told_at_by_target.get(target.name, math.inf)
    return told_at <= end - TOLD_TIME and not arrival.is_excused
