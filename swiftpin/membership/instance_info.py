"""An instance as the platform lists it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceInfo:
    """One instance of swiftpin.

    Addresses are `host:port`; `leaving` is set once a planned stop began.
    """

    name: str
    zone: str
    leaving: bool
    peer: str
    forward: str
    admin: str
