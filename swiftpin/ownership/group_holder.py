"""The holder of one group: confirms, grants, moves and writes its record."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace
import math
from typing import Final

from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import NoOwnerError, TargetFencedError
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.cooperative_confirmation import CooperativeConfirmation
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.holder_links import HolderLinks, Link
from swiftpin.ownership.lease import Lease
from swiftpin.ownership.majority_confirmation import MajorityConfirmation
from swiftpin.ownership.ownership_decision import OwnershipDecision
from swiftpin.ownership.placement.move import Move
from swiftpin.ownership.placement.planner import plan_moves
from swiftpin.ownership.placement.policy import (
    MoveOnLeave,
    MoveOnLoss,
    PlacementPolicy,
)
from swiftpin.ownership.placement_inputs import placement_view
from swiftpin.ownership.predecessor import Predecessor
from swiftpin.ownership.record_changes import (
    new_writer,
    with_lease,
    with_moves,
    with_reported_owner,
)
from swiftpin.ownership.record_writer import RecordWriter
from swiftpin.ownership.rules import (
    Confirmation,
    confirmed_until,
    lapsed,
    predecessor_lapsed,
)
from swiftpin.ownership.target_state import TargetState
from swiftpin.ownership.write_result import WriteDone, WriteLost, WriteUnsettled

MOVE_BATCH: Final = 32
"""Slices that one planned move takes off their owner at a time."""

TICK: Final = 0.1
"""Seconds between looks at the group when nothing happens."""

RETRY_AFTER_NO_OWNER: Final = 0.1
START_PATIENCE: Final = 2.0
"""Seconds that a new holder may take until its targets confirm it."""

STORE_RETRY: Final = 1.0
SUCCESSOR_PATIENCE: Final = 2.0
"""Seconds without an acknowledged heartbeat after which a successor is replaced."""


class GroupHolder:
    """Holds one group's lease on this instance until it steps down.

    `record` is the version that this holder acts on. A takeover without the store
    passes `version` None and the writer of the record that it built on.
    """

    def __init__(
        self,
        env: HolderEnvironment,
        record: GroupRecord,
        *,
        version: int | None,
        fenced_group: bool,
        checks_grants: bool,
        predecessor: Predecessor | None,
        store_read_at: float,
        base_writer: str = "",
    ) -> None:
        self.record = record
        self.links: Final = HolderLinks(
            env,
            checks_grants=checks_grants,
            may_grant=self._may_grant,
            on_change=self.wake,
            on_fenced=self._on_fenced,
        )
        self._env = env
        self._writer = RecordWriter(
            env.store, record.id, version, base_writer=base_writer
        )
        self._fenced_group = fenced_group
        self._predecessor = predecessor
        self._disabled = predecessor is None or not fenced_group
        self._cooperative = CooperativeConfirmation(
            at=store_read_at, store_at=store_read_at
        )
        self._saved = record.term % 2 == 0
        self._served: set[int] = set()
        self._next_target_set: frozenset[str] | None = None
        self._revision = record.revision
        self._store_failed_at = -math.inf
        self._store_seen_at = store_read_at
        self._started_at = monotonic_now()
        self._successor_heard_at = self._started_at
        self._releasing = False
        self._stopped = False
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def id(self) -> GroupId:
        """Return the group's name."""
        return self.record.id

    @callback
    def start(self) -> None:
        """Begin to hold the group."""
        self._build_links()
        self._env.listener.group_acquired(self.id, self.record.term)
        name = f"group-holder-{self.id.service}-{self.id.group}"
        self._task = asyncio.create_task(self._async_run(), name=name)

    async def async_stop(self) -> None:
        """Stop acting for the group; what was granted ends by itself."""
        self._stopped = True
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self.links.async_stop()
        self._env.listener.group_lost(self.id)

    @callback
    def wake(self) -> None:
        """Look at the group soon."""
        self._wake.set()

    @callback
    def successor_acknowledged(self, sent_at: float) -> None:
        """Note a heartbeat, sent at that time, that the successor acknowledged."""
        self._successor_heard_at = max(self._successor_heard_at, sent_at)
        self._cooperative = self._cooperative.by_successor(sent_at)

    @callback
    def heartbeat(self) -> GroupHeartbeat:
        """Return the sign of life for the successor."""
        return GroupHeartbeat(
            group=self.id, term=self.record.term, revision=self.record.revision
        )

    @callback
    def is_fit(self, now: float) -> bool:
        """Return whether the lease should stay here: it works, or it just began."""
        return self._may_grant(now) or now - self._started_at < START_PATIENCE

    @callback
    def send_until(self, now: float) -> float | None:
        """Return until when requests may be sent, None when not at `now`."""
        if self._stopped or self._releasing:
            return None
        until = self._confirmed_until()
        return until if now < until else None

    @callback
    def target_of(self, slice_id: int, now: float) -> TargetSpec:
        """Return the target that serves the slice; raise `NoOwnerError` if none."""
        if self.send_until(now) is None:
            raise NoOwnerError(
                "the lease of the key's group is being confirmed",
                retry_after=RETRY_AFTER_NO_OWNER,
            )
        assignment = self.record.slices_by_id[slice_id]
        link = self.links.by_target.get(assignment.target)
        if link is None or slice_id not in link.granted_terms_by_id:
            raise NoOwnerError(
                "the key's slice is being granted", retry_after=RETRY_AFTER_NO_OWNER
            )
        if link.state is not TargetState.LIVE:
            raise NoOwnerError(
                "the key's owner does not answer", retry_after=RETRY_AFTER_NO_OWNER
            )
        return link.spec

    async def async_release(self, successor: str) -> bool:
        """Hand the lease over by a planned stop; return whether it was written.

        Requests that must not be cut off end first; grants stay in force at the
        targets, so that the successor finds them when it fences.
        """
        await self._env.listener.async_group_releasing(self.id)
        self._releasing = True
        record = with_lease(
            self.record,
            holder=successor,
            successor=None,
            writer=new_writer(self._env.instance_id),
            reason="planned hand-over",
        )
        result = await self._writer.async_write(record)
        if not isinstance(result, WriteDone) or result.record is not record:
            return False
        self._env.events.assigned(record, monotonic_now())
        self._env.publish(record)
        return True

    async def _async_run(self) -> None:
        """Look at the group at each change and each tick."""
        while not self._stopped:
            self._wake.clear()
            await self._async_step()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), TICK)

    async def _async_step(self) -> None:
        """Do what the group needs now, most urgent first."""
        self._build_links()
        await self._async_keep_confirmed(monotonic_now())
        now = monotonic_now()
        self._note_disabled(now)
        if self._stopped or self._releasing or not self._may_grant(now):
            return
        self._adopt_reports()
        await self._async_replace_lost(now)
        await self._async_grant_missing(monotonic_now())
        await self._async_save(monotonic_now())
        await self._async_replace_successor(monotonic_now())
        await self._async_move_planned(monotonic_now())
        await self._async_change_targets(monotonic_now())

    # Confirmation

    @callback
    def _confirmation(self) -> Confirmation:
        """Return what confirms this holder at the moment."""
        if not self._fenced_group:
            return self._cooperative
        sets = [self.record.targets]
        if self._next_target_set is not None:
            sets.append(self._next_target_set)
        return MajorityConfirmation(
            acknowledged_at_by_target=self.links.acknowledged_at_by_target(),
            target_sets=tuple(sets),
        )

    @callback
    def _confirmed_until(self) -> float:
        """Return the time after which nothing may be granted or sent."""
        return confirmed_until(self._confirmation(), self._env.timing)

    @callback
    def _may_grant(self, now: float) -> bool:
        """Return whether grants may be renewed or given at `now`."""
        return not self._stopped and now < self._confirmed_until()

    @callback
    def _on_fenced(self, err: TargetFencedError) -> None:
        """Step down: a target follows a holder of a higher term."""
        if err.term < self.record.term:
            return
        self._step_down(f"target {err.target} follows {err.holder} at {err.term}")

    @callback
    def _note_disabled(self, now: float) -> None:
        """Note when earlier holders can no longer be confirmed."""
        if self._disabled or self._predecessor is None:
            return
        if now >= self._confirmed_until():
            return
        self._predecessor = replace(self._predecessor, disabled_at=now)
        self._disabled = True

    @callback
    def _predecessors_ended(self, now: float) -> bool:
        """Return whether no earlier holder's grant can be in force."""
        if self._predecessor is None:
            return True
        return self._disabled and predecessor_lapsed(
            self._predecessor, self._env.timing, now
        )

    async def _async_keep_confirmed(self, now: float) -> None:
        """Ask the store where targets or the successor do not confirm us."""
        uncounted = self.links.uncounted()
        late = now > self._confirmed_until() - self._env.timing.holder_limit / 2
        asks_store = bool(uncounted) or (late and not self._fenced_group)
        if not asks_store or self._store_is_away(now):
            return
        unchanged = await self._writer.async_is_unchanged()
        if unchanged is None:
            self._store_failed_at = monotonic_now()
            return
        if not unchanged:
            self._step_down("the store shows another holder's record")
            return
        self._store_seen_at = now
        self._cooperative = self._cooperative.by_store(now)
        self.links.count_restarted_before(now)

    # Grants

    @callback
    def _build_links(self) -> None:
        """Make a link to each declared target of the record."""
        service = self._env.service_of(self.id.service)
        if service is None:
            return
        lease = self._lease()
        wanted = self.record.targets | (self._next_target_set or frozenset())
        for target in sorted(wanted):
            spec = service.targets_by_id.get(target)
            if spec is not None:
                self.links.ensure(spec, lease)

    @callback
    def _lease(self) -> Lease:
        """Return the lease as targets see it."""
        return Lease(group=self.id, term=self.record.term, holder=self._env.instance_id)

    @callback
    def _adopt_reports(self) -> None:
        """Learn of moves that earlier holders made while the store was away."""
        for target, link in self.links.by_target.items():
            for slice_id, term in link.granted_terms_by_id.items():
                known = self.record.slices_by_id.get(slice_id)
                if known is None or known.target == target or known.term >= term:
                    continue
                self.record = with_reported_owner(self.record, slice_id, target, term)
                self._saved = False

    async def _async_replace_lost(self, now: float) -> None:
        """Move the slices of lost targets to live ones."""
        lost = frozenset(
            target
            for target in self.record.targets
            if self._is_lost(self.links.by_target.get(target), now)
        )
        if not lost:
            return
        moves = self._plan(MoveOnLoss(), lost)
        if not moves:
            return
        record = self._with_moves(moves, f"lost {','.join(sorted(lost))}")
        self._decide("move_on_loss", record.reason, slices=len(moves))
        if not await self._async_write(record) and not self._stopped:
            self._adopt_unsaved(record)
        self._served.update(move.slice_id for move in moves)

    @callback
    def _plan(self, policy: PlacementPolicy, lost: frozenset[str]) -> list[Move]:
        """Return the moves that a policy asks for."""
        service = self._env.service_of(self.id.service)
        if service is None:
            return []
        view = placement_view(
            self.record,
            self.links.by_target,
            service.targets_by_id,
            lost=lost,
            leaving=self._env.leaving_targets_of(self.id.service),
        )
        moves = plan_moves(view, policy, monotonic_now())
        if not isinstance(policy, MoveOnLoss):
            return moves
        return [move for move in moves if move.source in lost]

    @callback
    def _is_lost(self, link: Link | None, now: float) -> bool:
        """Return whether every grant on the target has ended."""
        if link is None:
            return self._predecessors_ended(now)
        if link.state is TargetState.LOST:
            return link.fenced_in_term or self._predecessors_ended(now)
        if link.state is not TargetState.NEW:
            return False
        silent = now - link.answered_at > self._env.timing.holder_limit
        own_ended = lapsed(link.limit, self._env.timing, now)
        return silent and own_ended and self._predecessors_ended(now)

    async def _async_grant_missing(self, now: float) -> None:
        """Grant each slice to its owner as soon as that is safe."""
        strays = await self._async_revoke_strays()
        wanted: dict[str, dict[int, int]] = {}
        for slice_id, item in self.record.slices_by_id.items():
            link = self.links.by_target.get(item.target)
            if link is None or link.state is not TargetState.LIVE:
                continue
            if link.granted_terms_by_id.get(slice_id) == item.term:
                self._served.add(slice_id)
                continue
            if slice_id in strays or not self._may_serve(slice_id, link, now):
                continue
            wanted.setdefault(item.target, {})[slice_id] = item.term
        for target, terms_by_id in wanted.items():
            await self._async_grant(target, terms_by_id)

    async def _async_grant(self, target: str, terms_by_id: dict[int, int]) -> None:
        """Grant slices to one target and note that they are served."""
        if not await self.links.by_target[target].async_grant(terms_by_id):
            return
        self._served.update(terms_by_id)
        self._decide("grant", "owner", target=target, slices=len(terms_by_id))

    @callback
    def _may_serve(self, slice_id: int, link: Link, now: float) -> bool:
        """Apply the rule `serve` to one slice whose owner is live."""
        if not lapsed(link.blocked_until, self._env.timing, now):
            return False
        if slice_id in self._served or self._predecessors_ended(now):
            return True
        return self._fences() and self.links.all_fenced(self.record.targets)

    @callback
    def _fences(self) -> bool:
        """Return whether the targets can report what they hold."""
        return self.links.checks_grants

    async def _async_revoke_strays(self) -> set[int]:
        """Revoke what targets hold beside the record; return what they still hold."""
        left: set[int] = set()
        for target, link in self.links.by_target.items():
            strays = frozenset(
                slice_id
                for slice_id in link.granted_terms_by_id
                if (known := self.record.slices_by_id.get(slice_id)) is None
                or known.target != target
            )
            if strays and not await link.async_revoke(strays, 0.0):
                left.update(strays)
        return left

    # Moves

    async def _async_move_planned(self, now: float) -> None:
        """Move slices off leaving targets, a batch at a time."""
        if self._store_is_away(now):
            return
        batch = self._plan(MoveOnLeave(), frozenset())[:MOVE_BATCH]
        if batch:
            await self.async_move(batch, "target leaving")
            self.wake()

    async def async_move(self, moves: list[Move], reason: str) -> None:
        """Move slices in order: revoke, write, grant."""
        revoked = await self._async_revoke_for_move(moves)
        done = [move for move in moves if move.slice_id in revoked]
        if not done:
            return
        record = self._with_moves(done, reason)
        self._decide("move", reason, slices=len(done))
        if await self._async_write(record):
            await self._async_grant_missing(monotonic_now())

    async def _async_revoke_for_move(self, moves: list[Move]) -> set[int]:
        """Take the slices back; return those that nobody serves any more."""
        by_owner: dict[str, set[int]] = {}
        for move in moves:
            owner = self.record.slices_by_id[move.slice_id].target
            by_owner.setdefault(owner, set()).add(move.slice_id)
        revoked: set[int] = set()
        for owner, slices in by_owner.items():
            link = self.links.by_target.get(owner)
            if link is None or link.state is not TargetState.LIVE:
                continue
            wait = self._env.timing.revoke_wait
            await link.async_revoke(frozenset(slices), wait)
            revoked.update(slices - link.granted_terms_by_id.keys())
        return revoked

    async def _async_change_targets(self, now: float) -> None:
        """Follow the declaration, one target a write."""
        wanted = self._env.declared_targets_of(self.id)
        if wanted is None or self._store_is_away(now):
            return
        missing = sorted(wanted - self.record.targets)
        owners = {item.target for item in self.record.slices_by_id.values()}
        unused = sorted(self.record.targets - wanted - owners)
        if missing:
            changed = self.record.targets | {missing[0]}
        elif unused:
            changed = self.record.targets - {unused[0]}
        else:
            return
        self._next_target_set = changed
        self._build_links()
        record = replace(self._next_version("targets changed"), targets=changed)
        if await self._async_write(record):
            await self.links.async_drop_all_but(changed)

    # The record

    @callback
    def _next_version(self, reason: str) -> GroupRecord:
        """Return the record with the next revision."""
        self._revision += 1
        return replace(
            self.record,
            revision=self._revision,
            writer=new_writer(self._env.instance_id),
            reason=reason,
        )

    @callback
    def _with_moves(self, moves: list[Move], reason: str) -> GroupRecord:
        """Return the next version with slices moved."""
        self._revision += 1
        return with_moves(
            self.record,
            moves,
            revision=self._revision,
            writer=new_writer(self._env.instance_id),
            reason=reason,
        )

    async def _async_write(self, record: GroupRecord) -> bool:
        """Write a version and act on it; return whether it took effect."""
        match await self._writer.async_write(record):
            case WriteDone(record=written) if written is record:
                self._adopt_saved(record)
                return True
            case WriteDone():
                self._saved = False
                return False
            case WriteLost(record=other):
                self._step_down(f"the store shows {other.holder} at term {other.term}")
                return False
            case WriteUnsettled():
                self._store_failed_at = monotonic_now()
                return False

    @callback
    def _adopt_saved(self, record: GroupRecord) -> None:
        """Act on a version that is in the store."""
        now = monotonic_now()
        term_grew = record.term > self.record.term
        self.record = record
        self._next_target_set = None
        self._saved = True
        self._store_seen_at = now
        self._env.events.assigned(record, now)
        self._env.publish(record)
        if term_grew:
            self._begin_term()

    @callback
    def _adopt_unsaved(self, record: GroupRecord) -> None:
        """Act on a version that waits for the store."""
        self.record = record
        self._saved = False
        self._env.publish(record)

    @callback
    def _begin_term(self) -> None:
        """Fence again under a new term of ours.

        The replaced successor may have taken over without the store meanwhile, so it
        counts as a predecessor until a majority follows the new term.
        """
        self._revision = self.record.revision
        self._served.clear()
        if self._fenced_group:
            self._disabled = False
            self._predecessor = Predecessor(
                disabled_at=math.inf, patience=self._env.timing.holder_limit
            )
        self.links.begin_term(self._lease())
        self._env.listener.group_acquired(self.id, self.record.term)

    async def _async_save(self, now: float) -> None:
        """Write what was decided while the store was away."""
        if self._saved or self._store_is_away(now):
            return
        if self.record.term % 2 == 0:
            await self._async_write(self._next_version("saved after a store outage"))
            return
        await self._async_renew_lease("saved a takeover made in a store outage")

    async def _async_replace_successor(self, now: float) -> None:
        """Name another successor when there is none or it is silent."""
        if not self._saved or self._store_is_away(now):
            return
        silent = now - self._successor_heard_at > SUCCESSOR_PATIENCE
        if self.record.successor is not None and not silent:
            return
        successor = self._env.successor_for(self.id)
        if successor is None or successor == self.record.successor:
            return
        await self._async_renew_lease(f"successor {self.record.successor} is silent")

    async def _async_renew_lease(self, reason: str) -> None:
        """Write the lease under the next term, with a fresh successor."""
        record = with_lease(
            self.record,
            holder=self._env.instance_id,
            successor=self._env.successor_for(self.id),
            writer=new_writer(self._env.instance_id),
            reason=reason,
        )
        self._decide("renew_lease", reason)
        self._successor_heard_at = monotonic_now()
        await self._async_write(record)

    @callback
    def _store_is_away(self, now: float) -> bool:
        """Return whether the store failed so recently that we do not ask again."""
        return now - self._store_failed_at < STORE_RETRY

    @callback
    def _step_down(self, reason: str) -> None:
        """Stop granting and sending at once; the instance ends the rest."""
        if self._stopped:
            return
        self._stopped = True
        self._decide("step_down", reason)
        self._env.released(self.id)

    @callback
    def _decide(
        self, event: str, reason: str, *, target: str | None = None, slices: int = 0
    ) -> None:
        """Report one decision."""
        self._env.events.decided(
            OwnershipDecision(
                event=event,
                group=self.id,
                term=self.record.term,
                reason=reason,
                target=target,
                slices=slices,
            )
        )
