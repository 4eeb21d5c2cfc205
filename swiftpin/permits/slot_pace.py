"""How fast a queue moves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotPace:
    """Expected turnover of the slots that one queue is for, in seconds."""

    free_in: float
    """Time until the next slot is free."""

    interval: float
    """Time between two slots that become free."""

    hold: float
    """Time for which a request has its slot."""
