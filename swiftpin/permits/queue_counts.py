"""Counts of the permit queue of one service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueCounts:
    """Requests at the permit issuer of a service."""

    waiting: int
    """Requests that wait for a slot."""

    rejected: int
    """Requests that were rejected since the start of the issuer."""
