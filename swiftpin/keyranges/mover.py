"""The two steps of a move: releasing keys and granting them to their new owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import (
    GrantRefusedError,
    TargetNotReachedError,
    TargetReplacedError,
    TargetUnreachableError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.repeated_log_filter import RepeatedLogFilter
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.key_grant import KeyGrant
from swiftpin.model.target import Target

RETRY_INTERVAL: Final = 0.15
"""Seconds between two attempts of the same call to a target."""


class Mover:
    """Releases keys at one target and grants them to another.

    Keys are free only when their former owner has answered a release, when all its
    grants have expired, or when another target answers at its address. A refused
    connection is no proof: a target at its connection limit refuses, and so may a
    broken link, while other instances still reach the target. Nor is an entry in the
    store: another writer may create one with any address.

    A later life of the former owner proves that the earlier one has terminated, but it
    may hold the keys itself: grants under new fences go to whichever process answers
    under the name, and may have reached the later life before this instance knew of
    its start. So the release is sent to the later life. Its answer proves that neither
    life holds the keys, and is immediate if the later life holds none.
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
        self, segment: Segment, unconfirmed_release_at: float | None
    ) -> str | None:
        """Release the keys at their former owner; return the handover, if there is one.

        Returns only when the former owner can no longer hold the keys.
        """
        session = self._sessions.get_or_create(segment.former_owner)
        async with session.renewal_lock:
            # Renewals that were in progress when the record changed have finished.
            held_until = session.held_until
        grant = KeyGrant(
            first=segment.first, last=segment.last, fence=self._granter.allocate_fence()
        )
        log_filter = RepeatedLogFilter()
        while True:
            now = suspend_aware_now()
            if session.is_gone or now >= held_until:
                reason = "gone" if session.is_gone else "its grants have ended"
                _log_failed_release(segment, grant.fence, "needless", reason)
                return None
            target = self._release_recipient(segment.former_owner)
            if target is None:
                # Its entry, or that of a later life, may still arrive.
                await self._async_wait_before_retry(held_until)
                continue
            try:
                handover = await self._granter.async_release(target, grant, session)
            except TargetReplacedError as err:
                if self._has_same_address(segment.former_owner, target):
                    _log_failed_release(segment, grant.fence, "needless", str(err))
                    session.is_gone = True
                    return None
                if log_filter.should_log(now, "misdirected"):
                    _log_failed_release(segment, grant.fence, "misdirected", str(err))
                await self._async_wait_before_retry(held_until)
            except TargetNotReachedError as err:
                if log_filter.should_log(now, "not sent", _error_kind(err)):
                    _log_failed_release(segment, grant.fence, "not sent", str(err))
                await self._async_wait_before_retry(held_until)
            except (TargetUnreachableError, GrantRefusedError) as err:
                if log_filter.should_log(now, "unanswered", _error_kind(err)):
                    _log_failed_release(segment, grant.fence, "unanswered", str(err))
                # The target may have released the keys at any time until now, while
                # their requests are still running. Any of several attempts may have
                # taken effect, so the last one counts.
                unconfirmed_release_at = suspend_aware_now()
                if not session.is_gone:
                    await self._async_wait_before_retry(held_until)
            else:
                if target.id != segment.former_owner:
                    _log_later_life(segment, grant.fence, target)
                # An unanswered release may already have reached the later life.
                await self._async_wait_for_running_work(
                    unconfirmed_release_at, held_until
                )
                return handover

    @callback
    def _has_same_address(self, target_id: str, other: Target) -> bool:
        """Return whether a target's entry has the same address as another target.

        An answer at a later life's address proves nothing about the address of the
        earlier one: another writer may create an entry with any address.
        """
        target = self._directory.targets_by_id.get(target_id)
        return target is not None and target.address == other.address

    @callback
    def _release_recipient(self, target_id: str) -> Target | None:
        """Return the life of a target to send the release to, None if none is known."""
        target = self._directory.targets_by_id.get(target_id)
        if target is not None and target_id not in self._directory.replaced_ids:
            return target
        return self._sessions.other_life(target_id) or target

    async def _async_wait_before_retry(self, until: float) -> None:
        """Wait for the retry interval, but not beyond the given time."""
        remaining = until - suspend_aware_now()
        await asyncio.sleep(max(min(RETRY_INTERVAL, remaining), 0.0))

    async def _async_wait_for_running_work(
        self, unconfirmed_release_at: float | None, until: float
    ) -> None:
        """Wait for requests that may still run after an unanswered release.

        A target answers a release once the requests for its keys have finished. A
        repeated release finds no keys and is answered immediately, while requests from
        before the first one may still run. They end by their deadline or when the grant
        expires.
        """
        if unconfirmed_release_at is None:
            return
        ends_at = min(unconfirmed_release_at + self._max_request_time(), until)
        await asyncio.sleep(max(ends_at - suspend_aware_now(), 0.0))

    async def async_grant_new_owner(self, segment: Segment) -> bool:
        """Grant keys to their new owner; return whether it accepted them."""
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
def _error_kind(err: Exception) -> str:
    """Return a text that distinguishes kinds of failures."""
    return f"{type(err).__name__} {type(err.__cause__).__name__}"


@callback
def _log_failed_release(
    segment: Segment, fence: int, outcome: str, reason: str
) -> None:
    """Log a release that returned no handover."""
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
def _log_later_life(segment: Segment, fence: int, later_life: Target) -> None:
    """Log that a later life of the former owner released the keys."""
    log_message(
        message_type="released_by_later_life",
        target=segment.former_owner,
        by=later_life.id,
        first=segment.first,
        last=segment.last,
        fence=fence,
    )
