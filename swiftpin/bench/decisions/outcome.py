"""What became of the requests of a played load."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from swiftpin.bench.decisions.scenario import RequestSort


@dataclass(kw_only=True, slots=True)
class Fate:
    """One caller's request, all of its tries together."""

    sort: RequestSort
    came_at: float
    served_at: float | None = None
    rejections: int = 0
    waits: list[float] = field(default_factory=list)
    """Seconds until each rejection."""

    @property
    def is_served(self) -> bool:
        """Return whether the answer came before the deadline."""
        return (
            self.served_at is not None
            and self.served_at <= self.came_at + self.sort.deadline
        )

    @property
    def is_in_time(self) -> bool:
        """Return whether the answer came within the objective."""
        return (
            self.served_at is not None
            and self.served_at <= self.came_at + self.sort.objective
        )

    @property
    def credit(self) -> float:
        """Return what the answer is worth."""
        if self.is_in_time:
            return self.sort.worth
        return self.sort.late_worth if self.is_served else 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """Shares of all requests of a play; waits in seconds."""

    served: float
    in_time: float
    credit: float
    worst_sort: float
    """Credit of the sort that gets the smallest share."""

    refused_again: float
    """Requests that came back after a rejection and ended unserved."""

    wait_p50: float
    wait_p99: float
    """Until the rejection of those that were not served."""

    most_at_cold: int
    """Most requests that a cold target got within a second."""

    moves: int
    moved_keys: float
    """Keys that changed hands, as a multiple of all keys."""


def summarize(
    fates: list[Fate], most_at_cold: int, moves: int, moved_keys: float
) -> Summary:
    """Return the shares."""
    unserved = [fate for fate in fates if not fate.is_served]
    waits = sorted(wait for fate in unserved for wait in fate.waits) or [0.0]
    owed = sum(fate.sort.worth for fate in fates)
    return Summary(
        served=sum(fate.is_served for fate in fates) / len(fates),
        in_time=sum(fate.is_in_time for fate in fates) / len(fates),
        credit=sum(fate.credit for fate in fates) / owed,
        worst_sort=min(_credit_by_sort(fates).values()),
        refused_again=sum(fate.rejections > 1 for fate in unserved) / len(fates),
        wait_p50=waits[len(waits) // 2],
        wait_p99=waits[len(waits) * 99 // 100],
        most_at_cold=most_at_cold,
        moves=moves,
        moved_keys=moved_keys,
    )


def _credit_by_sort(fates: list[Fate]) -> dict[str, float]:
    """Return the part of its worth that each sort gets."""
    owed: dict[str, float] = defaultdict(float)
    earned: dict[str, float] = defaultdict(float)
    for fate in fates:
        owed[fate.sort.name] += fate.sort.worth
        earned[fate.sort.name] += fate.credit
    return {name: earned[name] / owed[name] for name in owed}
