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
from swiftpin.keyranges.segment import Segment
from swiftpin.platform.target_control import (
    GrantRefusedError,
    KeyGrant,
    TargetNotReachedError,
    TargetReplacedError,
)

RETRY_PAUSE: Final = 0.15
"""Seconds between two tries of the same call to a target."""


class Mover:
    """Takes keys back from one target and grants them to another.

    Keys are free when their former owner has answered a release, when all that it was
    granted has ended, or when another target has its address; nothing else shows it. A
    refused connection does not: targets refuse when they are full, and so does a link
    that is cut, while other instances still reach the target.
    """

    def __init__(
        self,
        *,
        granter: Granter,
        directory: TargetDirectory,
        longest_request: Callable[[], float],
    ) -> None:
        self._granter = granter
        self._directory = directory
        self._longest_request = longest_request

    async def async_take_back(
        self, segment: Segment, asked_at: float | None
    ) -> str | None:
        """Return the handover once the former owner certainly lets go of the keys."""
        session = self._granter.session(segment.former)
        async with session.calls:
            # Renewals that were under way when the record changed have ended.
            held_until = session.held_until
        grant = KeyGrant(first=segment.first, last=segment.last, fence=segment.fence)
        while True:
            now = suspend_aware_now()
            self._granter.session(segment.former)
            if session.is_gone or now >= held_until:
                reason = "gone" if session.is_gone else "its grants have ended"
                self._log_release(segment, "needless", reason)
                return None
            target = self._directory.targets_by_id.get(segment.former)
            if target is None:
                await asyncio.sleep(held_until - now)
                continue
            try:
                handover = await self._granter.async_release(target, grant, session)
            except TargetReplacedError as err:
                self._log_release(segment, "needless", str(err))
                return None
            except TargetNotReachedError as err:
                self._log_release(segment, "not sent", str(err))
                await self._async_pause(held_until)
            except (TargetUnreachableError, GrantRefusedError) as err:
                # It may have taken the keys, until now, and let their work run on. Any
                # of several tries may be the one that did, so the last one counts.
                self._log_release(segment, "unanswered", str(err))
                asked_at = suspend_aware_now()
                await self._async_pause(held_until)
            else:
                await self._async_wait_work(asked_at, held_until)
                return handover

    @callback
    def _log_release(self, segment: Segment, outcome: str, reason: str) -> None:
        """Write a line for a release that brought no handover."""
        log_message(
            message_type="release_failed",
            level="warning",
            target=segment.former,
            first=segment.first,
            last=segment.last,
            fence=segment.fence,
            outcome=outcome,
            reason=reason,
        )

    async def _async_pause(self, until: float) -> None:
        """Wait before the next try, at most until a time."""
        left = until - suspend_aware_now()
        await asyncio.sleep(max(min(RETRY_PAUSE, left), 0.0))

    async def _async_wait_work(self, asked_at: float | None, until: float) -> None:
        """Wait for work that an earlier release may have left running.

        A target answers the release that takes its keys when their work has ended; one
        that is repeated finds no keys and is answered at once. What was sent before the
        keys were taken ends by its own deadline, or with the grant.
        """
        if asked_at is None:
            return
        ends_at = min(asked_at + self._longest_request(), until)
        await asyncio.sleep(max(ends_at - suspend_aware_now(), 0.0))

    async def async_grant_new(self, segment: Segment) -> bool:
        """Grant keys to their new owner; return whether it took them."""
        session = self._granter.session(segment.owner)
        while True:
            target = self._directory.targets_by_id.get(segment.owner)
            now = suspend_aware_now()
            if target is None or self._directory.is_leaving(segment.owner):
                return False
            if session.is_lost(now):
                return False
            if await self._granter.async_grant(target, segment, session):
                return True
            await asyncio.sleep(RETRY_PAUSE)
