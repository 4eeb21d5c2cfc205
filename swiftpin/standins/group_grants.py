"""Fence and grants of one group at a target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from swiftpin.core import callback
from swiftpin.standins.fence import Fence
from swiftpin.standins.refusal import Refusal
from swiftpin.standins.slice_grant import SliceGrant
from swiftpin.standins.target_identity import TargetIdentity
from swiftpin.trace.owned_event import OwnedEvent
from swiftpin.trace.release_reason import ReleaseReason
from swiftpin.trace.released_event import ReleasedEvent
from swiftpin.trace.slice_term import SliceTerm

GrantEvent = OwnedEvent | ReleasedEvent


class GroupGrants:
    """Slices of one group that a target holds; times are the target's clock.

    `record` hears of each slice that becomes held or is given up.
    """

    def __init__(
        self,
        service: str,
        group: int,
        identity: TargetIdentity,
        record: Callable[[GrantEvent], None],
    ) -> None:
        self._service = service
        self._group = group
        self._identity = identity
        self._record = record
        self._grants_by_slice: dict[int, SliceGrant] = {}
        self._lapse_at = float("inf")
        self._released = asyncio.Event()
        self.fence = Fence()

    @property
    def lapse_at(self) -> float:
        """Return when the next grant may lapse."""
        return self._lapse_at

    @property
    def held(self) -> int:
        """Return the number of slices held, those being revoked included."""
        return len(self._grants_by_slice)

    def grants(self) -> list[SliceGrant]:
        """Return the grants of the slices held, those being revoked included."""
        return list(self._grants_by_slice.values())

    @callback
    def raise_fence(self, fence: Fence) -> bool:
        """Follow the fence; return False when a higher or rival one is known.

        Orders of an earlier term end with it: slices being revoked open again.
        """
        if fence.term < self.fence.term:
            return False
        if fence.term == self.fence.term and fence.holder != self.fence.holder:
            return False
        if fence.term > self.fence.term:
            self._reopen()
        self.fence = fence
        return True

    @callback
    def extend(self, expires_at: float) -> None:
        """Extend every slice held to at least `expires_at`."""
        for grant in self._grants_by_slice.values():
            grant.expires_at = max(grant.expires_at, expires_at)
        self._note_earliest()

    @callback
    def grant(self, slices: Iterable[SliceTerm], expires_at: float, now: float) -> None:
        """Hold the slices until `expires_at`, unless that has passed already."""
        if expires_at <= now:
            return
        owned = [item for item in slices if self._hold(item, expires_at)]
        self._note_earliest()
        if owned:
            self._record(
                OwnedEvent(
                    target=self._identity.target,
                    boot_id=self._identity.boot_id,
                    service=self._service,
                    group=self._group,
                    slices=tuple(owned),
                    term=self.fence.term,
                    at=now,
                )
            )

    @callback
    def revoke(self, slice_ids: Iterable[int], now: float) -> None:
        """Take no new work for the slices and give up those that are idle."""
        idle = []
        for slice_id in slice_ids:
            grant = self._grants_by_slice.get(slice_id)
            if grant is None:
                continue
            grant.revoking = True
            if not grant.running:
                idle.append(slice_id)
        self._release(idle, now, ReleaseReason.REVOKED)

    def still_held(self, slice_ids: Iterable[int]) -> list[int]:
        """Return those of the slices that are still held."""
        return [item for item in slice_ids if item in self._grants_by_slice]

    async def async_wait_released(self, slice_ids: list[int], timeout: float) -> None:
        """Wait until none of the slices is held, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while self.still_held(slice_ids):
                    await self._released.wait()
        except TimeoutError:
            return

    def refusal(self, slice_id: int, fence: Fence, now: float) -> Refusal | None:
        """Return why a request under the fence may not start, None if it may."""
        self.lapse(now)
        if fence.term < self.fence.term:
            return Refusal.STALE_TERM
        if fence.term == self.fence.term and fence.holder != self.fence.holder:
            return Refusal.STALE_TERM
        grant = self._grants_by_slice.get(slice_id)
        if grant is None or grant.revoking or fence != self.fence:
            return Refusal.NOT_GRANTED
        return None

    @callback
    def begin(self, slice_id: int) -> SliceGrant:
        """Note that an execution runs on a slice that is held."""
        grant = self._grants_by_slice[slice_id]
        grant.running += 1
        return grant

    @callback
    def end(self, grant: SliceGrant, now: float) -> None:
        """Note that an execution on the grant ended, whatever became of it."""
        grant.running -= 1
        if not grant.revoking or grant.running:
            return
        if self.holds(grant):
            self._release([grant.slice_id], now, ReleaseReason.REVOKED)

    def holds(self, grant: SliceGrant) -> bool:
        """Return whether the very grant is still in force."""
        return self._grants_by_slice.get(grant.slice_id) is grant

    @callback
    def lapse(self, now: float) -> None:
        """Give up the slices whose limit has passed, each as of its limit."""
        if now < self._lapse_at:
            return
        slices_by_limit: dict[float, list[int]] = {}
        for grant in self._grants_by_slice.values():
            if grant.expires_at <= now:
                slices_by_limit.setdefault(grant.expires_at, []).append(grant.slice_id)
        for limit, slice_ids in sorted(slices_by_limit.items()):
            self._release(slice_ids, limit, ReleaseReason.LAPSED)
        self._note_earliest()

    @callback
    def stop(self, now: float) -> None:
        """Give up all slices because the target ends."""
        self._release(list(self._grants_by_slice), now, ReleaseReason.STOPPED)

    @callback
    def _reopen(self) -> None:
        """Take new work again for slices that were being revoked."""
        for grant in self._grants_by_slice.values():
            grant.revoking = False

    @callback
    def _hold(self, item: SliceTerm, expires_at: float) -> bool:
        """Hold one slice; return whether that is news."""
        grant = self._grants_by_slice.get(item.slice_id)
        if grant is None:
            self._grants_by_slice[item.slice_id] = SliceGrant(
                slice_id=item.slice_id, slice_term=item.term, expires_at=expires_at
            )
            return True
        grant.expires_at = max(grant.expires_at, expires_at)
        if item.term < grant.slice_term:
            return False
        grant.revoking = False
        is_newer = item.term > grant.slice_term
        grant.slice_term = item.term
        return is_newer

    @callback
    def _release(self, slice_ids: list[int], at: float, why: ReleaseReason) -> None:
        """Give up slices that are held."""
        if not slice_ids:
            return
        for slice_id in slice_ids:
            del self._grants_by_slice[slice_id]
        self._record(
            ReleasedEvent(
                target=self._identity.target,
                boot_id=self._identity.boot_id,
                service=self._service,
                group=self._group,
                slices=tuple(slice_ids),
                at=at,
                why=why,
            )
        )
        self._released.set()
        self._released = asyncio.Event()

    @callback
    def _note_earliest(self) -> None:
        """Note when the next grant lapses."""
        self._lapse_at = min(
            (grant.expires_at for grant in self._grants_by_slice.values()),
            default=float("inf"),
        )
