"""A target server of a service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetSpec:
    """One target as declared.

    `address` is `host:port`, `slots` the number of requests it runs at once,
    `connections` the most connections it takes.
    """

    id: str
    address: str
    zone: str
    slots: int = 2
    connections: int = 100
