"""Loading of the assignment that an assigner starts from."""

from __future__ import annotations

import asyncio
from typing import Final

from eliot import log_message

from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import ConfigurationError, StoreError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment import Assignment, divide_by_weight
from swiftpin.keyranges.assignment_record import AssignmentRecord
from swiftpin.keyranges.const import CONTROL_TIMEOUT
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.hold_times import HoldLimit
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.target import Target
from swiftpin.store_errors import ObjectMissingError

TARGETS_SETTLE_TIME: Final = 1.5
"""Seconds without a new target after which the initial assignment is made. Each target
that registers later causes moves."""

READ_RETRY_DELAY: Final = 0.15
"""Seconds between two attempts to read the record."""


class AssignmentLoader:
    """Reads the recorded assignment, or creates it if there is none."""

    def __init__(
        self,
        *,
        service: str,
        record: AssignmentRecord,
        granter: Granter,
        sessions: TargetSessions,
        directory: TargetDirectory,
        hold_limit: HoldLimit,
        term: int,
    ) -> None:
        self._service = service
        self._record = record
        self._granter = granter
        self._sessions = sessions
        self._directory = directory
        self._hold_limit = hold_limit
        self._term = term
        self.is_new_assignment = False
        """Whether the assignment was just created, so no keys have been granted yet."""

    async def async_load(self, took_over_at: float) -> Assignment:
        """Return the assignment to start from; retry until the store provides it."""
        while True:
            try:
                return await self._async_take_over(took_over_at)
            except ObjectMissingError:
                targets = await self._async_wait_for_targets()
            except (StoreError, ConfigurationError) as err:
                await self._async_back_off(str(err))
                continue
            try:
                return await self._async_create(targets)
            except StoreError as err:
                await self._async_back_off(str(err))

    async def _async_take_over(self, took_over_at: float) -> Assignment:
        """Take over the assignment of the previous lease holder.

        Its grants expire at the latest after its longest hold, counted from the last
        moment at which a call of that holder may arrive.
        """
        assignment = await self._record.async_take_over(self._granter.allocate_fence)
        arrived_at = took_over_at + CONTROL_TIMEOUT
        hold = self._hold_limit.note_recorded(assignment.max_hold, arrived_at)
        for segment in assignment.segments:
            for target in (segment.owner, segment.former_owner):
                if target:
                    self._sessions.get_or_create(target).note_grant(arrived_at, hold)
        log_message(
            message_type="assignment_loaded",
            service=self._service,
            revision=self._record.revision,
            recorded_era=self._record.recorded_era,
            segments=len(assignment.segments),
            longest_hold=hold,
            term=self._term,
        )
        return assignment

    async def _async_wait_for_targets(self) -> list[Target]:
        """Wait until no more targets register, and return them."""
        known_count = -1
        while True:
            now = suspend_aware_now()
            targets = self._directory.serving_targets(self._service, now)
            if targets and len(targets) == known_count:
                return targets
            known_count = len(targets)
            await asyncio.sleep(TARGETS_SETTLE_TIME)

    async def _async_create(self, targets: list[Target]) -> Assignment:
        """Divide the keys among targets and record this first assignment."""
        weights = {target.id: float(target.slots) for target in targets}
        assignment = divide_by_weight(
            weights,
            self._granter.allocate_fence(),
            self._hold_limit.limit_for_record(0, len(targets), suspend_aware_now()),
        )
        await self._record.async_create(assignment)
        self.is_new_assignment = True
        log_message(
            message_type="assignment_made", service=self._service, targets=len(targets)
        )
        return assignment

    async def _async_back_off(self, reason: str) -> None:
        """Log a failed attempt and wait before the next one."""
        log_message(
            message_type="assignment_unread",
            level="warning",
            service=self._service,
            error=reason,
        )
        await asyncio.sleep(READ_RETRY_DELAY)
