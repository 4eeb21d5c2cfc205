"""A class of requests within a profile."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestClass:
    """Requests that are treated alike.

    A request belongs to the first class whose `methods` (empty: any) and `path`
    glob match. `priority` orders the queue, lower first. `repeatable` is False for
    work that must run at most once. `weight` counts the class in the users' measure
    of unavailable time.
    """

    name: str
    methods: frozenset[str]
    path: str
    priority: int
    repeatable: bool
    weight: float = 1.0
