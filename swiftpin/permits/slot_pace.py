"""Rate at which slots become free."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotPace:
    """Expected times until slots become free for one queue, in seconds."""

    free_in: float
    """Time until the next slot is free."""

    interval: float
    """Time from one slot becoming free to the next."""

    hold: float
    """Time for which a request holds its slot."""

    is_rate_limited: bool = False
    """Whether a rate limit named by the target, rather than its slots, determines the
    pace."""
