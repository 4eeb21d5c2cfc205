"""Carrying out of recorded moves."""

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
    """Runs a task for each move, and notes in the assignment that it has ended."""

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
        """Stop all moves where they are; the record tells of them."""
        for task in self._tasks_by_first_key.values():
            task.cancel()

    @callback
    def start(self, segment: Segment, asked_at: float | None = None) -> None:
        """Begin to carry a recorded move out."""
        task = asyncio.create_task(self._async_move(segment, asked_at))
        self._tasks_by_first_key[segment.first] = task
        task.add_done_callback(lambda done: self._note_move_ended(segment.first, done))

    @callback
    def _note_move_ended(self, first: int, task: asyncio.Task[None]) -> None:
        """Forget a move that ended; report what should not happen."""
        if self._tasks_by_first_key.get(first) is task:
            del self._tasks_by_first_key[first]
        if not task.cancelled() and (err := task.exception()) is not None:
            log_message(message_type="move_failed", level="error", error=repr(err))

    async def _async_move(self, segment: Segment, asked_at: float | None) -> None:
        """Take the keys from their former owner and grant them to the new one.

        `asked_at` is when a release may have been sent of which nothing is known.
        """
        started_at = suspend_aware_now()
        handover = await self._mover.async_release_former_owner(segment, asked_at)
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
