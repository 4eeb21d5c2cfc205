"""A holder's link to one target: fencing, renewal and grants."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
import contextlib
import math
from typing import Final

from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import (
    TargetError,
    TargetFencedError,
    TargetRestartedError,
)
from swiftpin.ownership.clock_reading import ClockReading
from swiftpin.ownership.lease import Lease
from swiftpin.ownership.rules import lapsed
from swiftpin.ownership.target_state import TargetState
from swiftpin.ownership.timing import Timing
from swiftpin.targets.client import TargetClient
from swiftpin.targets.fence_reply import FenceReply
from swiftpin.targets.fence_request import FenceRequest
from swiftpin.targets.grant_update import GrantUpdate

RETRY_SHARE: Final = 0.25
"""Share of the grant interval after which an unanswered message is repeated."""


class TargetLink:
    """Keeps one target fenced and its grants renewed.

    `limit` is our monotonic time (seconds) by which every grant this holder ever
    sent to the target ends, whether or not the target received it.
    `acknowledged_at` is the time before the send of the last fence or renewal that
    was acknowledged. `counts` is False while a restart has not been checked against
    the store. `granted_terms_by_id` holds the slices that the target is known to hold.
    `fenced_in_term` tells whether the target was ever fenced under the present term,
    `answered_at` when it last answered anything,
    `blocked_until` (our time) until when an earlier start of it may still hold slices.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        lease: Lease,
        timing: Timing,
        may_grant: Callable[[float], bool],
        on_change: Callable[[], None],
        on_fenced: Callable[[TargetFencedError], None],
    ) -> None:
        self.spec = client.spec
        self.state = TargetState.NEW
        self.limit = -math.inf
        self.acknowledged_at = -math.inf
        self.counts = True
        self.restarted_at = -math.inf
        self.granted_terms_by_id: dict[int, int] = {}
        self.fenced_in_term = False
        self.blocked_until = -math.inf
        self._client = client
        self._lease = lease
        self._timing = timing
        self._may_grant = may_grant
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._reading: ClockReading | None = None
        self.answered_at = monotonic_now()
        self._unsettled_until_by_slice: dict[int, float] = {}
        self._lock = asyncio.Lock()
        self._nudged = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @callback
    def start(self) -> None:
        """Begin to fence and renew."""
        name = f"target-link-{self.spec.id}"
        self._task = asyncio.create_task(self._async_run(), name=name)

    async def async_stop(self) -> None:
        """End the link's task; grants end by themselves."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None

    @callback
    def stop_soon(self) -> None:
        """Begin to end the link's task without waiting for it."""
        if self._task is not None:
            self._task.cancel()

    @callback
    def begin_term(self, lease: Lease) -> None:
        """Go on under a new term of the same holder; the target is fenced again."""
        self._lease = lease
        self.state = TargetState.NEW
        self.fenced_in_term = False
        self.acknowledged_at = -math.inf
        self._nudged.set()

    @callback
    def may_hold(self, slice_id: int, now: float) -> bool:
        """Return whether the target holds the slice or may come to hold it.

        A grant that the network held back may arrive after a later revoke was
        acknowledged. The slice would then have two owners until that grant ends.
        """
        if slice_id in self.granted_terms_by_id:
            return True
        unsettled_until = self._unsettled_until_by_slice.get(slice_id, -math.inf)
        return not lapsed(unsettled_until, self._timing, now)

    async def async_grant(self, terms_by_id: Mapping[int, int]) -> bool:
        """Grant slices; return whether the target acknowledged them."""
        if not terms_by_id:
            return True
        return await self._async_update(grant=terms_by_id)

    async def async_revoke(self, slices: frozenset[int], wait: float) -> bool:
        """Take slices back; return whether none of them is in use any more.

        `may_hold` tells which of them the target may still come to hold.
        """
        if not slices:
            return True
        return await self._async_update(revoke=slices, revoke_wait=wait)

    async def _async_run(self) -> None:
        """Exchange one message after another until stopped."""
        while True:
            answered = await self._async_exchange()
            self._judge(answered, monotonic_now())
            share = 1.0 if answered else RETRY_SHARE
            self._nudged.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._nudged.wait(), self._timing.grant_interval * share
                )

    async def _async_exchange(self) -> bool:
        """Send the message that the state asks for; return whether it was answered.

        A target that did not answer is only asked for its status: each renewal would
        move `limit`, and the slices of a dead target could never be moved. A holder
        that is not confirmed fences, which binds the target without granting.
        """
        if not self._may_grant(monotonic_now()):
            return await self._async_fence()
        match self.state:
            case TargetState.NEW | TargetState.LOST:
                return await self._async_fence()
            case TargetState.SUSPECT:
                return await self._async_status() and await self._async_update()
            case TargetState.LIVE:
                return await self._async_update()

    async def _async_fence(self) -> bool:
        """Fence the target; return whether it answered."""
        async with self._lock:
            lease = self._lease
            request = FenceRequest(
                group=lease.group, term=lease.term, holder=lease.holder
            )
            sent_at = monotonic_now()
            try:
                reply = await self._client.async_fence(request)
            except TargetFencedError as err:
                self._on_fenced(err)
                return False
            except TargetError:
                return False
            if lease is not self._lease:
                return False
            self._note_boot(reply.boot_id, sent_at)
            self._reading = ClockReading(
                boot_id=reply.boot_id, clock=reply.clock, received_at=monotonic_now()
            )
            self._adopt_report(reply, monotonic_now())
            self.acknowledged_at = sent_at
        if self.state is not TargetState.LIVE:
            self.state = TargetState.LIVE
            self._on_change()
        return True

    async def _async_status(self) -> bool:
        """Ask for the status; return whether the same start of the target answered."""
        sent_at = monotonic_now()
        try:
            status = await self._client.async_status()
        except TargetError:
            return False
        if self._reading is not None and status.boot_id != self._reading.boot_id:
            self._forget_grants(sent_at)
            return False
        return True

    async def _async_update(
        self,
        *,
        grant: Mapping[int, int] | None = None,
        revoke: frozenset[int] = frozenset(),
        revoke_wait: float = 0.0,
    ) -> bool:
        """Send one grant update; return whether the target carried it out."""
        async with self._lock:
            now = monotonic_now()
            if self._reading is None or not self._may_grant(now):
                return False
            lease = self._lease
            update = self._next_update(dict(grant or {}), revoke, revoke_wait, now)
            try:
                reply = await self._client.async_update(update)
            except TargetFencedError as err:
                self._on_fenced(err)
                return False
            except TargetRestartedError:
                self._forget_grants(now)
                return False
            except TargetError:
                self._note_unsettled(update)
                return False
            if lease is not self._lease:
                return False
            self._reading = ClockReading(
                boot_id=update.boot_id, clock=reply.clock, received_at=monotonic_now()
            )
            self.acknowledged_at = now
            self.granted_terms_by_id.update(update.grant_terms_by_id)
            for slice_id in revoke - reply.busy:
                self.granted_terms_by_id.pop(slice_id, None)
        self._check_held(reply.held)
        return not reply.busy

    def _next_update(
        self,
        grant: dict[int, int],
        revoke: frozenset[int],
        revoke_wait: float,
        now: float,
    ) -> GrantUpdate:
        """Build an update and note, before it is sent, how long it may bind."""
        assert self._reading is not None
        limit = now + self._timing.grant_ttl
        self.limit = max(self.limit, limit)
        return GrantUpdate(
            group=self._lease.group,
            term=self._lease.term,
            holder=self._lease.holder,
            boot_id=self._reading.boot_id,
            expires_at=self._reading.expires_at(limit, self._timing),
            grant_terms_by_id=grant,
            revoke=revoke,
            revoke_wait=revoke_wait,
        )

    @callback
    def _note_unsettled(self, update: GrantUpdate) -> None:
        """Remember a grant whose answer was lost until it can no longer bind."""
        for slice_id in update.grant_terms_by_id:
            self._unsettled_until_by_slice[slice_id] = self.limit

    @callback
    def _check_held(self, held: int) -> None:
        """Fence again when the target holds another number of slices than we think.

        Grants may have ended on the target while it, or we, stood still; requests
        would be refused there until it is asked what it holds.
        """
        if held != len(self.granted_terms_by_id) and self.state is TargetState.LIVE:
            self.state = TargetState.NEW

    @callback
    def _adopt_report(self, reply: FenceReply, now: float) -> None:
        """Take over what the target says it holds.

        Earlier holders' grants there end within one time to live of the fence. A target
        that falls silent right after it was fenced, before the first renewal, must not
        count as lost earlier than that.
        """
        self.fenced_in_term = True
        self.limit = max(self.limit, now + self._timing.grant_ttl)
        self.granted_terms_by_id = {
            slice_id: held.term for slice_id, held in reply.slices_by_id.items()
        }

    @callback
    def _note_boot(self, boot_id: str, sent_at: float) -> None:
        """Notice that another start of the target answered."""
        if self._reading is not None and self._reading.boot_id != boot_id:
            self._forget_grants(sent_at)

    @callback
    def _forget_grants(self, seen_at: float) -> None:
        """Begin again with a restarted target.

        Its old process may still run with grants until `limit`, which stays, so the
        holder does not grant these slices again before. It has forgotten its fence, so
        it does not count until the store showed that the lease is still ours.
        """
        self.granted_terms_by_id.clear()
        self.blocked_until = self.limit
        self.fenced_in_term = False
        self._reading = None
        self.counts = False
        self.restarted_at = seen_at
        self.state = TargetState.NEW
        self._on_change()

    @callback
    def _judge(self, answered: bool, now: float) -> None:
        """Set the state after one exchange."""
        before = self.state
        if answered:
            self.answered_at = now
        if not answered and before is TargetState.LIVE:
            self.state = TargetState.SUSPECT
        elif answered and before is TargetState.SUSPECT:
            self.state = TargetState.LIVE
        if self.state is TargetState.SUSPECT and lapsed(self.limit, self._timing, now):
            self.granted_terms_by_id.clear()
            self.state = TargetState.LOST
        if self.state is not before:
            self._on_change()
