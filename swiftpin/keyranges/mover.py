"""The two halves of a move: keys are taken back, then granted to their new owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import TargetUnreachableError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.repeated_log_filter import RepeatedLogFilter
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.target import Target
from swiftpin.platform.target_control import (
    GrantRefusedError,
    KeyGrant,
    TargetNotReachedError,
    TargetReplacedError,
)

RETRY_INTERVAL: Final = 0.15
"""Seconds between two tries of the same call to a target."""


class Mover:
    """Takes keys back from one target and grants them to another.

    Keys are free when their former owner has answered a release, when all that it was
    granted has ended, or when another target answers at its address; nothing else shows
    it. A refused connection does not: targets refuse when they are full, and so does a
    link that is cut, while other instances still reach the target. Nor does an entry in
    the store: another writer's may name any address.

    A later life of the former owner shows that what the earlier one held has ended, but
    it may hold the keys itself: grants under new fences go to whoever answers to the
    name, and so may have reached it before its start was known here. So it gets the
    release. Its answer shows both, and comes at once when it holds nothing.
    """

    def __init__(
        self,
        *,
        granter: Granter,
        sessions: TargetSessions,
        directory: TargetDirectory,
        max_request_time: Callable[[], float],
    ) -> None:
        self._granter = granter
        self._sessions = sessions
        self._directory = directory
        self._max_request_time = max_request_time

    async def async_release_former_owner(
        self, segment: Segment, asked_at: float | None
    ) -> str | None:
        """Return the handover once the former owner certainly lets go of the keys."""
        session = self._sessions.get_or_create(segment.former_owner)
        async with session.renewal_lock:
            # Renewals that were under way when the record changed have ended.
            held_until = session.held_until
        grant = KeyGrant(
            first=segment.first, last=segment.last, fence=self._granter.allocate_fence()
        )
        told = RepeatedLogFilter()
        while True:
            now = suspend_aware_now()
            if session.is_gone or now >= held_until:
                reason = "gone" if session.is_gone else "its grants have ended"
                _log_release(segment, grant.fence, "needless", reason)
                return None
            target = self._holder(segment.former_owner)
            if target is None:
                # Its entry, or that of a later life, may still come.
                await self._async_pause(held_until)
                continue
            try:
                handover = await self._granter.async_release(target, grant, session)
            except TargetReplacedError as err:
                if self._has_address(segment.former_owner, target):
                    _log_release(segment, grant.fence, "needless", str(err))
                    session.is_gone = True
                    return None
                if told.should_log(now, "misdirected"):
                    _log_release(segment, grant.fence, "misdirected", str(err))
                await self._async_pause(held_until)
            except TargetNotReachedError as err:
                if told.should_log(now, "not sent", _reason_class(err)):
                    _log_release(segment, grant.fence, "not sent", str(err))
                await self._async_pause(held_until)
            except (TargetUnreachableError, GrantRefusedError) as err:
                if told.should_log(now, "unanswered", _reason_class(err)):
                    _log_release(segment, grant.fence, "unanswered", str(err))
                # It may have taken the keys, until now, and let their work run on. Any
                # of several tries may be the one that did, so the last one counts.
                asked_at = suspend_aware_now()
                if not session.is_gone:
                    await self._async_pause(held_until)
            else:
                if target.id != segment.former_owner:
                    _log_later_life(segment, grant.fence, target)
                # An unanswered release may have reached the later life already.
                await self._async_wait_work(asked_at, held_until)
                return handover

    @callback
    def _has_address(self, target_id: str, other: Target) -> bool:
        """Return whether a target is known to have had another one's address.

        Who answers at the address of a later life says nothing of the earlier one's:
        an entry of another writer may name any address.
        """
        target = self._directory.targets_by_id.get(target_id)
        return target is not None and target.address == other.address

    @callback
    def _holder(self, target_id: str) -> Target | None:
        """Return the life of a target to ask for its keys, None when none is known."""
        target = self._directory.targets_by_id.get(target_id)
        if target is not None and target_id not in self._directory.replaced_ids:
            return target
        return self._sessions.other_life(target_id) or target

    async def _async_pause(self, until: float) -> None:
        """Wait before the next try, at most until a time."""
        left = until - suspend_aware_now()
        await asyncio.sleep(max(min(RETRY_INTERVAL, left), 0.0))

    async def _async_wait_work(self, asked_at: float | None, until: float) -> None:
        """Wait for work that an earlier release may have left running.

        A target answers the release that takes its keys when their work has ended; one
        that is repeated finds no keys and is answered at once. What was sent before the
        keys were taken ends by its own deadline, or with the grant.
        """
        if asked_at is None:
            return
        ends_at = min(asked_at + self._max_request_time(), until)
        await asyncio.sleep(max(ends_at - suspend_aware_now(), 0.0))

    async def async_grant_new_owner(self, segment: Segment) -> bool:
        """Grant keys to their new owner; return whether it took them."""
        session = self._sessions.get_or_create(segment.owner)
        while True:
            target = self._directory.targets_by_id.get(segment.owner)
            now = suspend_aware_now()
            if target is None or self._directory.is_leaving(segment.owner):
                return False
            if session.is_lost(now):
                return False
            if await self._granter.async_grant(target, segment, session):
                return True
            await asyncio.sleep(RETRY_INTERVAL)


@callback
def _reason_class(err: Exception) -> str:
    """Return what tells failures of one kind from those of another."""
    return f"{type(err).__name__} {type(err.__cause__).__name__}"


@callback
def _log_release(segment: Segment, fence: int, outcome: str, reason: str) -> None:
    """Write a line for a release that brought no handover."""
    log_message(
        message_type="release_failed",
        level="warning",
        target=segment.former_owner,
        first=segment.first,
        last=segment.last,
        fence=fence,
        outcome=outcome,
        reason=reason,
    )


@callback
def _log_later_life(segment: Segment, fence: int, holder: Target) -> None:
    """Write a line for keys whose owner has started again since it got them."""
    log_message(
        message_type="released_by_later_life",
        target=segment.former_owner,
        by=holder.id,
        first=segment.first,
        last=segment.last,
        fence=fence,
    )
