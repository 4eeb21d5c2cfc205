"""Load that a target reports."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Requests that run and wait, open connections, and whether the target is cold."""

    busy: int = 0
    queued: int = 0
    connections: int = 0
    cold: bool = False
