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
from swiftpin.helpers.event_wait import async_wait_event
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

    Times are ours, monotonic, in seconds. `limit` is when every grant this holder ever
    sent to the target ends, whether or not the target received it; `blocked_until`
    the same for an earlier start of the target. `acknowledged_at` is before the send
    of the last fence or renewal that was acknowledged; `answered_at` when the target
    last answered anything. `granted_terms_by_id` holds the slices that the target is
    known to hold, `renewed_terms_by_id` those that it still held at the last renewal.
    `fenced_in_term` tells whether the start that the lease names follows it.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        lease: Lease,
        timing: Timing,
        may_grant: Callable[[float], bool],
        on_change: Callable[[], None],
        on_acknowledged: Callable[[], None],
        on_fenced: Callable[[TargetFencedError], None],
    ) -> None:
        self.spec = client.spec
        self.state = TargetState.NEW
        self.limit = -math.inf
        self.blocked_until = -math.inf
        self.acknowledged_at = -math.inf
        self.answered_at = monotonic_now()
        self.granted_terms_by_id: dict[int, int] = {}
        self.renewed_terms_by_id: dict[int, int] = {}
        self.fenced_in_term = False
        self.boot_id: str | None = None
        self._client = client
        self._lease = lease
        self._timing = timing
        self._may_grant = may_grant
        self._on_change = on_change
        self._on_acknowledged = on_acknowledged
        self._on_fenced = on_fenced
        self._reading: ClockReading | None = None
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
    def nudge(self) -> None:
        """Exchange a message now instead of after the interval."""
        self._nudged.set()

    @callback
    def begin_term(self, lease: Lease) -> None:
        """Go on under a new term of the same holder; the target is fenced again."""
        if lease.boot_of(self.spec.id) != self._lease.boot_of(self.spec.id):
            self.blocked_until = max(self.blocked_until, self.limit)
        self._lease = lease
        self.state = TargetState.NEW
        self.fenced_in_term = False
        self.acknowledged_at = -math.inf
        self.renewed_terms_by_id = {}
        self.nudge()

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

    @callback
    def possible_slices(self, now: float) -> frozenset[int]:
        """Return the slices that the target holds or may come to hold."""
        unsettled = {
            slice_id
            for slice_id, limit in self._unsettled_until_by_slice.items()
            if not lapsed(limit, self._timing, now)
        }
        return frozenset(self.granted_terms_by_id.keys() | unsettled)

    @callback
    def forget_lapsed(self) -> None:
        """Note that every grant on the target has ended.

        Only the holder knows: what a silent target reported may have been extended by
        a later holder, as long as no majority acknowledged after the limit.
        """
        self.granted_terms_by_id = {}

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
            nudged = self._nudged.is_set()
            self._nudged.clear()
            answered = await self._async_exchange()
            self._judge(answered, monotonic_now())
            if nudged and answered:
                self._on_change()
            settled = answered and self.state is not TargetState.NEW
            share = 1.0 if settled else RETRY_SHARE
            await async_wait_event(self._nudged, self._timing.grant_interval * share)

    async def _async_exchange(self) -> bool:
        """Send the message that the state asks for; return whether it was answered.

        A target that did not answer is only asked for its status: each renewal would
        move `limit`, and the slices of a dead target could never be moved. A holder
        that is not confirmed fences, which binds the target without granting.
        """
        if not self._may_grant(monotonic_now()):
            return await self._async_fence()
        match self.state:
            case TargetState.NEW | TargetState.LOST | TargetState.UNNAMED:
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
            if not self._meet(reply.boot_id):
                return True
            self._reading = ClockReading(
                boot_id=reply.boot_id, clock=reply.clock, received_at=monotonic_now()
            )
            self._adopt_report(reply, monotonic_now())
            self._acknowledge(sent_at)
        if self.state is not TargetState.LIVE:
            self.state = TargetState.LIVE
            self._on_change()
            # What the target reported may end any moment, since nobody has renewed it
            # after the last holder; waiting for the interval would let it lapse.
            self.nudge()
        return True

    async def _async_status(self) -> bool:
        """Ask for the status; return whether the start that is known answered."""
        try:
            status = await self._client.async_status()
        except TargetError:
            return False
        return self._meet(status.boot_id)

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
                self._forget_grants()
                return False
            except TargetError:
                self._note_unsettled(update)
                return False
            if lease is not self._lease:
                return False
            self._reading = ClockReading(
                boot_id=update.boot_id, clock=reply.clock, received_at=monotonic_now()
            )
            self._acknowledge(now)
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
    def _acknowledge(self, sent_at: float) -> None:
        """Note that the target follows us."""
        self.acknowledged_at = sent_at
        self._on_acknowledged()

    @callback
    def _note_unsettled(self, update: GrantUpdate) -> None:
        """Remember a grant whose answer was lost until it can no longer bind."""
        for slice_id in update.grant_terms_by_id:
            self._unsettled_until_by_slice[slice_id] = self.limit

    @callback
    def _check_held(self, held: int) -> None:
        """Note what was renewed, or fence again when the numbers differ.

        Grants may have ended on the target while it, or we, stood still; requests
        would be refused there until it is asked what it holds.
        """
        if held == len(self.granted_terms_by_id):
            self.renewed_terms_by_id = dict(self.granted_terms_by_id)
        elif self.state is TargetState.LIVE:
            self.state = TargetState.NEW

    @callback
    def _adopt_report(self, reply: FenceReply, now: float) -> None:
        """Take over what the target says it holds.

        Earlier holders' grants there end within one time to live of the fence. A target
        that falls silent right after it was fenced, before the first renewal, must not
        count as lost earlier than that. The report alone does not show an owner: it may
        be older than the majority, so it counts as renewed only by a renewal.
        """
        self.fenced_in_term = True
        self.limit = max(self.limit, now + self._timing.grant_ttl)
        self.renewed_terms_by_id = {}
        self.granted_terms_by_id = {
            slice_id: held.term for slice_id, held in reply.slices_by_id.items()
        }

    @callback
    def _meet(self, boot_id: str) -> bool:
        """Notice which start of the target answers; return whether we may go on."""
        if self.boot_id is not None and self.boot_id != boot_id:
            self._forget_grants()
        self.boot_id = boot_id
        if self._lease.names(self.spec.id, boot_id):
            return True
        if self.state is not TargetState.UNNAMED:
            self.state = TargetState.UNNAMED
            self._on_change()
        return False

    @callback
    def _forget_grants(self) -> None:
        """Begin again with a restarted target.

        Its old process may still run with grants until `limit`, so the holder does not
        grant these slices again before.
        """
        self.granted_terms_by_id = {}
        self.renewed_terms_by_id = {}
        self.blocked_until = max(self.blocked_until, self.limit)
        self.acknowledged_at = -math.inf
        self.boot_id = None
        self._reading = None
        self._on_acknowledged()
        if self.state is not TargetState.NEW:
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
            self.renewed_terms_by_id = {}
            self.state = TargetState.LOST
        if self.state is not before:
            self._on_change()
