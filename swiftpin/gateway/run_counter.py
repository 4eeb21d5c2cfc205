"""Runs of requests that are not repeatable, by group."""

from __future__ import annotations

import asyncio
from collections import Counter

from swiftpin.core import callback
from swiftpin.helpers.event_wait import async_wait_event
from swiftpin.ownership.group_id import GroupId


class RunCounter:
    """Counts runs, and lets a hand-over wait for the last one."""

    def __init__(self) -> None:
        self._counts_by_group: Counter[GroupId] = Counter()
        self._idle_by_group: dict[GroupId, asyncio.Event] = {}

    @callback
    def count(self, group: GroupId) -> int:
        """Return how many runs of the group go on."""
        return self._counts_by_group[group]

    @callback
    def begin(self, group: GroupId) -> None:
        """Count a run in."""
        self._counts_by_group[group] += 1

    @callback
    def end(self, group: GroupId) -> None:
        """Count a run out."""
        self._counts_by_group[group] -= 1
        if self._counts_by_group[group] > 0:
            return
        del self._counts_by_group[group]
        idle = self._idle_by_group.pop(group, None)
        if idle is not None:
            idle.set()

    async def async_wait_idle(self, group: GroupId, limit: float) -> bool:
        """Wait up to `limit` seconds; return whether no run goes on."""
        if not self._counts_by_group[group]:
            return True
        idle = self._idle_by_group.setdefault(group, asyncio.Event())
        return await async_wait_event(idle, limit)
