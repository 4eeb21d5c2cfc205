"""Execution of recorded moves."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from eliot import log_message

from swiftpin.core import callback
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.key_map_publisher import KeyMapPublisher
from swiftpin.keyranges.mover import Mover
from swiftpin.keyranges.segment import Segment


class MoveRunner:
    """Runs a task for each move and updates the assignment when the move ends."""

    def __init__(
        self,
        *,
        service: str,
        state: AssignmentState,
        granter: Granter,
        mover: Mover,
        publisher: KeyMapPublisher,
    ) -> None:
        self._service = service
        self._state = state
        self._granter = granter
        self._mover = mover
        self._publisher = publisher
        self._tasks_by_first_key: dict[int, asyncio.Task[None]] = {}

    @callback
    def unload(self) -> None:
        """Cancel all running moves; they remain in the stored record."""
        for task in self._tasks_by_first_key.values():
            task.cancel()

    @callback
    def start(
        self, segment: Segment, unconfirmed_release_at: float | None = None
    ) -> None:
        """Start a recorded move."""
        task = asyncio.create_task(self._async_move(segment, unconfirmed_release_at))
        self._tasks_by_first_key[segment.first] = task
        task.add_done_callback(
            lambda finished: self._handle_move_ended(segment.first, finished)
        )

    @callback
    def _handle_move_ended(self, first_key: int, task: asyncio.Task[None]) -> None:
        """Drop a move that ended; log an unexpected error."""
        if self._tasks_by_first_key.get(first_key) is task:
            del self._tasks_by_first_key[first_key]
        if not task.cancelled() and (err := task.exception()) is not None:
            log_message(message_type="move_failed", level="error", error=repr(err))

    async def _async_move(
        self, segment: Segment, unconfirmed_release_at: float | None
    ) -> None:
        """Release the keys at their former owner and grant them to the new one.

        `unconfirmed_release_at` is the time at which a previous assigner may have sent
        a release whose outcome is unknown.
        """
        started_at = suspend_aware_now()
        handover = await self._mover.async_release_former_owner(
            segment, unconfirmed_release_at
        )
        if handover is not None:
            self._granter.handovers_by_fence[segment.fence] = handover
        released_at = suspend_aware_now()
        granted = await self._mover.async_grant_new_owner(segment)
        self._state.assignment = self._state.current.with_replaced(
            segment, replace(segment, former_owner="")
        )
        if granted:
            self._state.granted_fences.add(segment.fence)
        self._publisher.publish()
        log_message(
            message_type="move_done" if granted else "move_stuck",
            service=self._service,
            first=segment.first,
            last=segment.last,
            to=segment.owner,
            fence=segment.fence,
            handover=handover is not None,
            release_seconds=released_at - started_at,
            seconds=suspend_aware_now() - started_at,
        )
