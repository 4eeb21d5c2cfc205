"""Heartbeats from holders to their successors."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import PeerError
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.group_holder import GroupHolder
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.peers import Peers


class Heartbeats:
    """One task for each instance that is a successor of groups held here."""

    def __init__(
        self,
        peers: Peers,
        holders_by_group: Mapping[GroupId, GroupHolder],
        interval: float,
    ) -> None:
        self._peers = peers
        self._holders_by_group = holders_by_group
        self._interval = interval
        self._tasks_by_successor: dict[str, asyncio.Task[None]] = {}
        self._starter: asyncio.Task[None] | None = None

    @callback
    def setup(self) -> None:
        """Begin to send."""
        self._starter = asyncio.create_task(self._async_follow(), name="heartbeats")

    async def async_unload(self) -> None:
        """Stop sending."""
        tasks = list(self._tasks_by_successor.values())
        if self._starter is not None:
            tasks.append(self._starter)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks_by_successor.clear()
        self._starter = None

    async def _async_follow(self) -> None:
        """Start a task for each new successor."""
        while True:
            for successor in self._successors() - self._tasks_by_successor.keys():
                self._tasks_by_successor[successor] = asyncio.create_task(
                    self._async_send(successor), name=f"heartbeat-{successor}"
                )
            await asyncio.sleep(self._interval / 2)

    async def _async_send(self, successor: str) -> None:
        """Send heartbeats to one instance while it is anybody's successor."""
        try:
            while beats := self._beats_for(successor):
                await self._async_send_once(successor, beats)
                await asyncio.sleep(self._interval)
        finally:
            self._tasks_by_successor.pop(successor, None)

    async def _async_send_once(
        self, successor: str, beats: list[GroupHeartbeat]
    ) -> None:
        """Send one heartbeat for all groups and note what was acknowledged."""
        sent_at = monotonic_now()
        try:
            reply = await self._peers.async_heartbeat(successor, beats)
        except PeerError:
            return
        for beat in beats:
            holder = self._holders_by_group.get(beat.group)
            if holder is None or holder.record.term != beat.term:
                continue
            if beat.group in reply.accepted:
                holder.successor_acknowledged(sent_at)

    @callback
    def _successors(self) -> set[str]:
        """Return the successors of the groups held here."""
        return {
            holder.record.successor
            for holder in self._holders_by_group.values()
            if holder.record.successor is not None
        }

    @callback
    def _beats_for(self, successor: str) -> list[GroupHeartbeat]:
        """Return the heartbeats for one instance.

        A holder that is not confirmed is left out, so that its successor takes over
        when it is cut off from its targets.
        """
        now = monotonic_now()
        return [
            holder.heartbeat()
            for holder in self._holders_by_group.values()
            if holder.record.successor == successor and holder.is_fit(now)
        ]
