"""Moves of a held group: off lost and leaving targets, and target sets."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from swiftpin.core import callback, monotonic_now
from swiftpin.ownership.group_lease import GroupLease
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.holder_links import HolderLinks, Link
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.placement_view import PlacementView
from swiftpin.ownership.placement.planner import plan_moves
from swiftpin.ownership.placement.policy import (
    MoveOnLeave,
    MoveOnLoss,
    PlacementPolicy,
)
from swiftpin.ownership.placement_inputs import placement_view
from swiftpin.ownership.record_changes import with_merge, with_moves, with_split
from swiftpin.ownership.rules import MIN_FENCED_TARGETS, lapse_end
from swiftpin.ownership.slice_grants import SliceGrants
from swiftpin.ownership.target_state import TargetState
from swiftpin.ownership.write_outcome import WriteOutcome

SILENT: Final = (TargetState.NEW, TargetState.LOST, TargetState.UNNAMED)
"""States of targets that may have lost their slices."""

MOVE_BATCH: Final = 32
"""Slices that one planned move takes off their owner at a time."""


class SliceMoves:
    """Moves slices between the group's targets."""

    def __init__(
        self,
        env: HolderEnvironment,
        lease: GroupLease,
        links: HolderLinks,
        grants: SliceGrants,
    ) -> None:
        self._env = env
        self._lease = lease
        self._links = links
        self._grants = grants

    async def async_replace_lost(self, now: float) -> None:
        """Give the slices of lost targets to live ones.

        The record is written first; only when the store cannot be reached do the
        new owners get their slices without it.
        """
        lost = frozenset(
            target
            for target in self._lease.record.targets
            if self._is_lost(self._links.by_target.get(target), now)
        )
        if not lost:
            self._hurry(now)
            return
        for target in lost & self._links.by_target.keys():
            self._links.by_target[target].forget_lapsed()
        moves = [
            move
            for move in self._plan(MoveOnLoss(), lost, now)
            if self._grants.may_leave_lost(move.slice_id, now)
        ]
        if not moves:
            return
        record = self._with_moves(moves, f"lost {','.join(sorted(lost))}")
        self._lease.decide("move_on_loss", record.reason, slices=len(moves))
        for target in sorted(lost):
            self._env.listener.target_lost(self._lease.id, target)
        if await self._lease.async_write_or_act(record):
            self._grants.note_free({move.slice_id for move in moves})

    async def async_move_planned(self, now: float) -> bool:
        """Move a batch of slices off leaving targets; return whether there was one."""
        if not self._leaving() or self._lease.store_is_away(now):
            return False
        batch = self._plan(MoveOnLeave(), frozenset(), now)[:MOVE_BATCH]
        if batch:
            await self.async_move(batch, "target leaving")
        return bool(batch)

    async def async_change_targets(self, now: float) -> bool:
        """Follow the declaration, one target a write; return whether it changed."""
        changed = self._next_target_set()
        if changed is None or self._lease.store_is_away(now):
            return False
        if not await self._lease.async_change_targets(changed):
            return False
        await self._links.async_drop_all_but(changed)
        return True

    async def async_name_starts(self, now: float) -> None:
        """Take restarted targets into the lease, after their slices found owners."""
        unnamed = self._links.unnamed_boots().keys()
        owners = {item.target for item in self._lease.record.slices_by_id.values()}
        if unnamed and (not unnamed & owners or not self._links.live()):
            await self._lease.async_name_starts(now)

    async def async_move(self, moves: list[Move], reason: str) -> None:
        """Move slices in order: revoke, write, grant."""
        revoked = await self._async_revoke({move.slice_id for move in moves})
        done = [move for move in moves if move.slice_id in revoked]
        if not done:
            return
        record = self._with_moves(done, reason)
        self._lease.decide("move", reason, slices=len(done))
        if await self._lease.async_write(record) is WriteOutcome.SAVED:
            await self._grants.async_grant_missing(monotonic_now())

    async def async_split(self, exception: KeyException) -> None:
        """Give a key a slice of its own, at the owner of its home.

        The home is revoked first, so that no request of the key is still running
        under it: the new slice could else move while its key is in use.
        """
        if not self._grants.is_served(exception.home):
            return
        if not await self._async_revoke({exception.home}):
            return
        version = self._lease.next_version(f"split hot key out of {exception.home}")
        self._lease.decide("split", version.reason, slices=1)
        outcome = await self._lease.async_write(with_split(version, exception))
        if outcome is WriteOutcome.SAVED:
            self._grants.note_free({exception.slice_id})
        await self._grants.async_grant_missing(monotonic_now())

    async def async_merge(self, exception: KeyException) -> None:
        """Put a key that is no longer hot back into its home, at the same owner."""
        if not self._grants.is_served(exception.slice_id):
            return
        if not await self._async_revoke({exception.slice_id}):
            return
        version = self._lease.next_version(f"merged a key into {exception.home}")
        self._lease.decide("merge", version.reason, slices=1)
        await self._lease.async_write(with_merge(version, exception))
        await self._grants.async_grant_missing(monotonic_now())

    @callback
    def view(
        self, now: float, load_by_slice: Mapping[int, float]
    ) -> PlacementView | None:
        """Return what placement decides from; None once the service is retired."""
        service = self._env.service_of(self._lease.id.service)
        if service is None:
            return None
        return placement_view(
            self._lease.record,
            self._links.by_target,
            service.targets_by_id,
            lost=frozenset(),
            leaving=self._leaving(),
            load_by_slice=load_by_slice,
        )

    async def _async_revoke(self, slices_to_revoke: set[int]) -> set[int]:
        """Take the slices back; return those that nobody serves any more."""
        by_owner: dict[str, set[int]] = {}
        for slice_id in slices_to_revoke:
            owner = self._lease.record.slices_by_id[slice_id].target
            by_owner.setdefault(owner, set()).add(slice_id)
        revoked: set[int] = set()
        for owner, slices in by_owner.items():
            link = self._links.by_target.get(owner)
            if link is None or link.state is not TargetState.LIVE:
                continue
            wait = self._env.timing.revoke_wait
            await link.async_revoke(frozenset(slices), wait)
            now = monotonic_now()
            revoked.update(item for item in slices if not link.may_hold(item, now))
        return revoked

    @callback
    def _hurry(self, now: float) -> None:
        """Ask for acknowledgements when a wait is over and only they are missing."""
        timing = self._env.timing
        for link in self._links.by_target.values():
            if link.state not in SILENT:
                continue
            end = lapse_end(link.limit, timing)
            if now > end and not self._lease.confirmed_after(end, now):
                self._links.nudge()
                return

    @callback
    def _is_lost(self, link: Link | None, now: float) -> bool:
        """Return whether every grant on the target has ended (rule `lapsed`)."""
        if link is None:
            return self._lease.predecessors_ended(now)
        if link.state not in SILENT:
            return False
        silence = now - link.answered_at
        if link.state is TargetState.NEW and silence <= self._env.timing.holder_limit:
            return False
        end = lapse_end(link.limit, self._env.timing)
        if not self._lease.confirmed_after(end, now):
            return False
        return link.fenced_in_term or self._lease.predecessors_ended(now)

    @callback
    def _plan(
        self, policy: PlacementPolicy, lost: frozenset[str], now: float
    ) -> list[Move]:
        """Return the moves that a policy asks for."""
        service = self._env.service_of(self._lease.id.service)
        if service is None:
            return []
        view = placement_view(
            self._lease.record,
            self._links.by_target,
            service.targets_by_id,
            lost=lost,
            leaving=self._leaving(),
        )
        moves = plan_moves(view, policy, now)
        if not isinstance(policy, MoveOnLoss):
            return moves
        return [move for move in moves if move.source in lost]

    @callback
    def _leaving(self) -> frozenset[str]:
        """Return the targets that shall give up their slices."""
        leaving = self._env.leaving_targets_of(self._lease.id.service)
        declared = self._env.declared_targets_of(self._lease.id)
        if declared is None:
            return leaving
        return leaving | (self._lease.record.targets - declared)

    @callback
    def _next_target_set(self) -> frozenset[str] | None:
        """Return the record's targets with one change towards the declaration."""
        wanted = self._env.declared_targets_of(self._lease.id)
        if wanted is None:
            return None
        record = self._lease.record
        missing = sorted(wanted - record.targets)
        if missing:
            return record.targets | {missing[0]}
        if record.fenced and len(record.targets) <= MIN_FENCED_TARGETS:
            return None
        owners = {item.target for item in record.slices_by_id.values()}
        unused = sorted(record.targets - wanted - owners)
        if unused:
            return record.targets - {unused[0]}
        return None

    @callback
    def _with_moves(self, moves: list[Move], reason: str) -> GroupRecord:
        """Return the next version of the record with slices moved."""
        return with_moves(self._lease.next_version(reason), moves)
