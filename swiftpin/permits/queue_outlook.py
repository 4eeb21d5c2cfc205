"""Outlook of one permit queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueOutlook:
    """Expected times of a queue in seconds, and the requests that wait in it."""

    free_in: float
    """Time until the next slot is free."""

    interval: float
    """Time from one slot becoming free to the next."""

    hold: float
    """Time for which a request holds its slot."""

    waiting: int
    """Requests that wait for a slot."""
