"""Revocation of grants that a restored store does not know of."""

from __future__ import annotations

import asyncio
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.const import REREGISTRATION_TIME
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import CLOCK_DRIFT_FACTOR, CONTROL_TIMEOUT, HOLD_MARGIN
from swiftpin.keyranges.mover import Mover
from swiftpin.keyranges.restored_assignment import (
    KeyRange,
    named_targets,
    ranges_of_others,
)
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.platform.store_client import CALL_TIMEOUT

LIST_POLL_INTERVAL: Final = 0.05
"""Seconds between two checks whether the list of targets is complete."""

MAX_RECORD_TIME: Final = 2 * CALL_TIMEOUT
"""Maximum seconds from a write of the record until its writer knows the outcome, which
it may have to read back."""


class UnrecordedGrants:
    """Ends all grants of earlier lease holders that an assignment does not contain.

    After a restore of the store any target may hold any key, under a move that the
    store has lost. Each target is asked to release all keys that it does not own in
    the assignment. It then refuses late grants of earlier holders, whose fences are
    lower. A target that does not answer is waited for until all grants that it may
    have received have expired.
    """

    def __init__(
        self,
        *,
        service: str,
        mover: Mover,
        sessions: TargetSessions,
        directory: TargetDirectory,
        health: StoreHealth,
    ) -> None:
        self._service = service
        self._mover = mover
        self._sessions = sessions
        self._directory = directory
        self._health = health

    async def async_revoke(
        self,
        assignment: Assignment,
        named_ids: set[str],
        *,
        took_over_at: float,
        restored_at: float,
        hold: float,
    ) -> None:
        """Return once no target can hold keys that it does not own.

        `named_ids` are further targets that may hold keys. Earlier holders of the lease
        made no call later than `took_over_at`, and recorded no move later than
        `restored_at`. `hold` is the longest duration of their grants.
        """
        started_at = suspend_aware_now()
        await self._async_wait_for_list()
        revoked_ids: set[str] = set()
        while True:
            holder_ids = named_ids | set(named_targets(assignment)) | self._listed_ids()
            new_ids = holder_ids - revoked_ids
            if not new_ids:
                break
            for target_id in new_ids:
                session = self._sessions.get_or_create(target_id)
                session.note_grant(took_over_at + CONTROL_TIMEOUT, hold)
            unconfirmed_release_at = last_release_at(
                took_over_at, restored_at, hold, suspend_aware_now()
            )
            async with asyncio.TaskGroup() as group:
                for target_id in new_ids:
                    for keys in ranges_of_others(assignment, target_id):
                        group.create_task(
                            self._async_release(target_id, keys, unconfirmed_release_at)
                        )
            revoked_ids |= new_ids
        log_message(
            message_type="unrecorded_grants_ended",
            service=self._service,
            targets=len(revoked_ids),
            seconds=suspend_aware_now() - started_at,
        )

    async def _async_wait_for_list(self) -> None:
        """Wait until live targets whose entries were lost are listed again."""
        while True:
            now = suspend_aware_now()
            is_settling = self._health.is_settling(now, REREGISTRATION_TIME)
            if self._directory.is_likely_complete(now) and not is_settling:
                return
            await asyncio.sleep(LIST_POLL_INTERVAL)

    @callback
    def _listed_ids(self) -> set[str]:
        """Return the known targets of the service."""
        return {
            target.id
            for target in self._directory.targets_by_id.values()
            if target.service == self._service
        }

    async def _async_release(
        self, target_id: str, keys: KeyRange, unconfirmed_release_at: float | None
    ) -> None:
        """Release a range of keys at a target that does not own it."""
        segment = Segment(
            first=keys.first, last=keys.last, owner="", fence=0, former_owner=target_id
        )
        await self._mover.async_release_former_owner(segment, unconfirmed_release_at)


@callback
def last_release_at(
    took_over_at: float, restored_at: float, hold: float, now: float
) -> float | None:
    """Return when an earlier holder may have sent a release that had an effect.

    Work on the released keys may still run, and a repeated release does not wait for
    it. A holder that notices a restore records its assignment again before it plans a
    move, so the moves that the store has lost were recorded until then. Grants to their
    former owners are not renewed, and work ends with its grant. The result is None if
    all of these grants have expired.
    """
    last_grant_at = restored_at + MAX_RECORD_TIME + CONTROL_TIMEOUT
    if now >= last_grant_at + hold * CLOCK_DRIFT_FACTOR + HOLD_MARGIN:
        return None
    return took_over_at + CONTROL_TIMEOUT
