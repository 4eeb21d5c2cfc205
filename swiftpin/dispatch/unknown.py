"""Outcome of a request that may or may not have run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """A target may have run the request; it is never run again."""
