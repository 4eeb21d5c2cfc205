"""What was counted on a played day."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class WorthPart:
    """A part of the worth of a day."""

    name: str
    weight: float
    """Share of the worth that the part can bring, 0 to 1."""

    earned: float
    """Share of it that was earned, 0 to 1."""

    @property
    def lost(self) -> float:
        """Return the worth that was not earned."""
        return self.weight * (1 - self.earned)


@dataclass(frozen=True, kw_only=True, slots=True)
class Price:
    """What a day was charged for."""

    name: str
    amount: float
    """In the price's own unit, which its name tells."""

    worth: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestGroup:
    """The requests of a kind, or of two seconds."""

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    earned: float
    """Share of the credit that was earned, 0 to 1."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DayReport:
    """What was counted on a played day."""

    worth: float
    instances: int
    parts: tuple[WorthPart, ...]
    prices: tuple[Price, ...]
    kinds: tuple[RequestGroup, ...]
    windows: tuple[RequestGroup, ...]
    """By the second of traffic in which they began."""

    tries_by_end: dict[str, int]
    broken_by_rule: dict[str, int]
    peak_memory: float
    """Megabytes of the largest instance."""

    mean_cores: float
    """Cores that an instance used in the mean."""
