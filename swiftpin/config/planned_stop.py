"""A planned stop of an instance or a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedStop:
    """An operator's order to stop something gracefully.

    Exactly one of `instance` and (`service`, `target`) is set. `limit` is how long
    requests in flight may take to finish, in seconds.
    """

    name: str
    instance: str | None = None
    service: str | None = None
    target: str | None = None
    limit: float = 600.0
