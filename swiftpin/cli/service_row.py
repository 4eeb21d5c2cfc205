"""Status of one service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRow:
    """What `status` shows of a service.

    `groups_held` counts the groups that some instance says it holds; both counts of
    groups are 0 for a service that is not keyed. `targets_stopping` counts targets
    with a planned stop.
    """

    name: str
    profile: str
    generation: int
    keyed: bool
    groups: int
    groups_held: int
    targets: int
    targets_stopping: int
