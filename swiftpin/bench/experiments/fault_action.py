"""What a fault scenario does to the cluster."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class KillTarget:
    """Kill the chosen target outright."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FreezeTarget:
    """Stop the chosen target in its tracks."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ThawTarget:
    """Let the chosen target go on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KillGateway:
    """Kill the chosen lease holder outright."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FreezeGateway:
    """Stop the chosen lease holder in its tracks."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ThawGateway:
    """Let the chosen lease holder go on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnlistGateway:
    """Let the instance list drop the chosen lease holder, after its lag."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BeginStoreOutage:
    """Let the store answer 503 to every call."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EndStoreOutage:
    """Let the store work again."""


FaultAction = (
    KillTarget
    | FreezeTarget
    | ThawTarget
    | KillGateway
    | FreezeGateway
    | ThawGateway
    | UnlistGateway
    | BeginStoreOutage
    | EndStoreOutage
)
