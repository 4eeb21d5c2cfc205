"""Renewal of one service's grants."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.hold_times import renew_interval
from swiftpin.keyranges.key_map_publisher import KeyMapPublisher
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_session import TargetSession
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.target import Target

RENEWAL_POLL_INTERVAL: Final = 0.1
"""Seconds between two checks for grants that are due for renewal."""

FAILED_RENEWAL_RETRY_INTERVAL: Final = 0.25
"""Seconds between two attempts to renew the grants of a target that did not answer."""


class GrantRenewer:
    """Renews each target's grants sequentially, and all targets concurrently."""

    def __init__(
        self,
        *,
        state: AssignmentState,
        granter: Granter,
        sessions: TargetSessions,
        directory: TargetDirectory,
        publisher: KeyMapPublisher,
    ) -> None:
        self._state = state
        self._granter = granter
        self._sessions = sessions
        self._directory = directory
        self._publisher = publisher

    async def async_run(self) -> None:
        """Renew every target's grants until cancelled."""
        async with asyncio.TaskGroup() as group:
            tasks_by_target: dict[str, asyncio.Task[None]] = {}
            next_renewal_by_target: dict[str, float] = {}
            while True:
                now = suspend_aware_now()
                owners = self._state.owners()
                for target_id in owners:
                    task = tasks_by_target.get(target_id)
                    if task is not None and not task.done():
                        continue
                    if now < next_renewal_by_target.get(target_id, 0.0):
                        continue
                    next_renewal_by_target[target_id] = now + self._renewal_interval(
                        target_id
                    )
                    tasks_by_target[target_id] = group.create_task(
                        self.async_renew(target_id)
                    )
                for target_id in tasks_by_target.keys() - owners:
                    if tasks_by_target[target_id].done():
                        del tasks_by_target[target_id]
                        del next_renewal_by_target[target_id]
                await asyncio.sleep(RENEWAL_POLL_INTERVAL)

    async def async_renew(self, target_id: str) -> None:
        """Renew one target's grants once."""
        session = self._sessions.get_or_create(target_id)
        target = self._directory.targets_by_id.get(target_id)
        if target is None or session.is_gone:
            return
        if target_id in self._directory.replaced_ids:
            # A later life would accept the grants, but instances send it no requests.
            return
        async with session.renewal_lock:
            segments = [
                segment
                for segment in self._state.current.segments
                if segment.owner == target_id
            ]
            session.retain_fences({segment.fence for segment in segments})
            for segment in segments:
                if segment.former_owner or not self._state.is_unchanged(segment):
                    continue
                if not await self._async_renew_segment(target, segment, session):
                    return

    @callback
    def _renewal_interval(self, target_id: str) -> float:
        """Return the seconds until a target's next renewal."""
        if self._sessions.get_or_create(target_id).is_failing:
            return FAILED_RENEWAL_RETRY_INTERVAL
        return renew_interval(len(self._state.current.segments))

    async def _async_renew_segment(
        self, target: Target, segment: Segment, session: TargetSession
    ) -> bool:
        """Renew one grant; return whether the target accepted it."""
        accepted = await self._granter.async_grant(target, segment, session)
        if accepted and segment.fence not in self._state.granted_fences:
            self._state.granted_fences.add(segment.fence)
            self._publisher.publish()
        return accepted
