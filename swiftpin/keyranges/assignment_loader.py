"""Loading of the assignment that an assigner starts from."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
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
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.keyranges.restored_assignment import (
    is_map_newer,
    named_targets,
    with_known_owners,
)
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.keyranges.unrecorded_grants import UnrecordedGrants
from swiftpin.model.store_era import StoreEra
from swiftpin.model.target import Target
from swiftpin.store_errors import ObjectMissingError

TARGETS_SETTLE_TIME: Final = 1.5
"""Seconds without a new target after which the initial assignment is made. Each target
that registers later causes moves."""

READ_RETRY_DELAY: Final = 0.15
"""Seconds between two attempts to read the record."""


class AssignmentLoader:
    """Reads the recorded assignment, or creates it if there is none.

    If the store was restored since the record was written, or may have lost it, the
    record lacks the latest moves. The grants that it doesn't contain are ended before
    any key is granted. Only then is the record marked as complete, so that a successor
    that takes over earlier ends them again.
    """

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
        era: StoreEra,
        unrecorded_grants: UnrecordedGrants,
        may_have_lost_record: Callable[[], bool],
        key_map: KeyMap | None = None,
    ) -> None:
        self._service = service
        self._record = record
        self._granter = granter
        self._sessions = sessions
        self._directory = directory
        self._hold_limit = hold_limit
        self._term = term
        self._era = era
        self._unrecorded_grants = unrecorded_grants
        self._may_have_lost_record = may_have_lost_record
        """Returns whether a missing record may have been lost in a restore."""

        self._key_map = key_map
        """The last key map of an earlier assigner, if one is known."""

        self.has_granted_keys = True
        """Whether the owners were granted their keys by an earlier assigner."""

    async def async_load(self, took_over_at: float) -> Assignment:
        """Return the assignment to start from; retry until the store provides it."""
        while True:
            try:
                assignment = await self._async_take_over(took_over_at)
            except ObjectMissingError:
                targets = await self._async_wait_for_targets()
            except (StoreError, ConfigurationError) as err:
                await self._async_back_off(str(err))
                continue
            else:
                if self._record.is_complete:
                    return assignment
                return await self._async_complete(assignment, took_over_at)
            try:
                return await self._async_create(targets, took_over_at)
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
        for target_id in named_targets(assignment):
            self._sessions.get_or_create(target_id).note_grant(arrived_at, hold)
        log_message(
            message_type="assignment_loaded",
            service=self._service,
            revision=self._record.revision,
            complete_era=self._record.complete_era,
            era=self._era.newest,
            segments=len(assignment.segments),
            longest_hold=hold,
            term=self._term,
        )
        return assignment

    async def _async_complete(
        self, recorded: Assignment, took_over_at: float
    ) -> Assignment:
        """Return an assignment that contains all grants, and record it as complete."""
        key_map = self._key_map
        if key_map is not None and not is_map_newer(key_map, recorded):
            key_map = None
        assignment = with_known_owners(recorded, key_map, self._granter.allocate_fence)
        limit = await self._async_end_unrecorded_grants(
            assignment, recorded, took_over_at
        )
        assignment = replace(assignment, max_hold=limit)
        self._record.mark_complete()
        while True:
            if await self._record.async_replace(assignment):
                return assignment
            await asyncio.sleep(READ_RETRY_DELAY)

    async def _async_end_unrecorded_grants(
        self, assignment: Assignment, recorded: Assignment | None, took_over_at: float
    ) -> float:
        """End all grants that an assignment lacks; return the hold to record."""
        self.has_granted_keys = False
        named_ids = set() if self._key_map is None else set(self._key_map.owners)
        arrived_at = took_over_at + CONTROL_TIMEOUT
        hold = self._hold_limit.note_unrecorded(arrived_at)
        if recorded is not None:
            named_ids.update(named_targets(recorded))
            recorded_hold = self._hold_limit.note_recorded(
                recorded.max_hold, arrived_at
            )
            hold = max(hold, recorded_hold)
        log_message(
            message_type="assignment_in_doubt",
            level="warning",
            service=self._service,
            complete_era=self._record.complete_era,
            era=self._era.newest,
            term=self._term,
            known_map_term=0 if self._key_map is None else self._key_map.term,
        )
        await self._unrecorded_grants.async_revoke(
            assignment,
            named_ids - {""},
            took_over_at=took_over_at,
            restored_at=self._era.newest_since,
            hold=hold,
        )
        return self._hold_limit.limit_for_record(
            0, len(assignment.segments), suspend_aware_now()
        )

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

    async def _async_create(
        self, targets: list[Target], took_over_at: float
    ) -> Assignment:
        """Divide the keys among targets and record this first assignment."""
        self.has_granted_keys = False
        weights = {target.id: float(target.slots) for target in targets}
        limit = self._hold_limit.limit_for_record(0, len(targets), suspend_aware_now())
        assignment = divide_by_weight(weights, self._granter.allocate_fence(), limit)
        may_have_been_lost = self._may_have_lost_record()
        if may_have_been_lost:
            assignment = with_known_owners(
                assignment, self._key_map, self._granter.allocate_fence
            )
            limit = await self._async_end_unrecorded_grants(
                assignment, None, took_over_at
            )
            assignment = replace(assignment, max_hold=limit)
        await self._record.async_create(assignment)
        log_message(
            message_type="assignment_made",
            service=self._service,
            targets=len(targets),
            may_have_been_lost=may_have_been_lost,
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
