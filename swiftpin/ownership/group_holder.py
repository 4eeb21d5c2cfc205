"""The holder of one group, on the instance that has its lease."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import Final

from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import NoOwnerError, TargetFencedError
from swiftpin.helpers.event_wait import async_wait_event
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_lease import GroupLease
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.holder_links import HolderLinks
from swiftpin.ownership.lease_start import LeaseStart
from swiftpin.ownership.slice_balance import SliceBalance
from swiftpin.ownership.slice_grants import SliceGrants
from swiftpin.ownership.slice_moves import SliceMoves
from swiftpin.ownership.target_state import TargetState

TICK: Final = 0.1
"""Seconds between looks at the group when nothing happens."""

START_PATIENCE: Final = 2.0
"""Seconds that a new holder may take until its targets confirm it."""

MEETING_PATIENCE: Final = 0.3
"""Seconds that a new holder waits for all targets before it names those it met."""

SCAN_INTERVAL: Final = 1.0
"""Seconds between looks at all slices of a group at rest."""

RETRY_AFTER_NO_OWNER: Final = 0.1


class GroupHolder:
    """Holds one group's lease on this instance until it steps down or hands over."""

    def __init__(self, env: HolderEnvironment, start: LeaseStart) -> None:
        self._env = env
        self._links = HolderLinks(
            env,
            checks_grants=start.checks_grants,
            may_grant=self._may_grant,
            on_change=self.wake,
            on_fenced=self._on_fenced,
        )
        self._lease = GroupLease(
            env, start, links=self._links, on_term=self._begin_term
        )
        self._grants = SliceGrants(env, self._lease, self._links)
        self._moves = SliceMoves(env, self._lease, self._links, self._grants)
        self._started_at = monotonic_now()
        self._balance = SliceBalance(env, self._lease, self._moves, self._started_at)
        self._releasing = False
        self._was_confirmed = False
        self._settled_record: GroupRecord | None = None
        self._scanned_at = -math.inf
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def id(self) -> GroupId:
        """Return the group's name."""
        return self._lease.id

    @property
    def record(self) -> GroupRecord:
        """Return the version of the record that this holder acts on."""
        return self._lease.record

    @callback
    def start(self) -> None:
        """Begin to hold the group."""
        self._ensure_links()
        self._env.listener.group_acquired(self.id, self.record.term)
        name = f"group-holder-{self.id.service}-{self.id.group}"
        self._task = asyncio.create_task(self._async_run(), name=name)

    async def async_stop(self) -> None:
        """Stop acting for the group; what was granted ends by itself."""
        self._lease.stopped = True
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self._links.async_stop()
        self._env.listener.group_lost(self.id)

    async def async_hand_over(self, successor: str) -> bool:
        """Give the lease to an instance; return whether that took effect.

        Requests that must not be cut off end first; grants stay in force at the
        targets, so that the successor finds them when it fences.
        """
        await self._env.listener.async_group_releasing(self.id)
        self._releasing = True
        return await self._lease.async_hand_over(successor)

    @callback
    def wake(self) -> None:
        """Look at the group soon."""
        self._wake.set()

    @callback
    def successor_acknowledged(self, sent_at: float) -> None:
        """Note a heartbeat, sent at that time (seconds), that was acknowledged."""
        self._lease.successor_acknowledged(sent_at)

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
        if self._lease.stopped or self._releasing:
            return None
        until = self._lease.confirmed_until()
        return until if now < until else None

    @callback
    def record_work(self, slice_id: int, key: str, busy: float, now: float) -> None:
        """Count a request that kept a slot of its target busy for `busy` seconds."""
        self._balance.meter.record(slice_id, key, busy, now)

    @callback
    def target_of(self, slice_id: int, now: float) -> TargetSpec:
        """Return the target that serves the slice; raise `NoOwnerError` if none."""
        if self.send_until(now) is None:
            raise self._no_owner("the lease of the key's group is being confirmed")
        assignment = self.record.slices_by_id[slice_id]
        link = self._links.by_target.get(assignment.target)
        if link is None or slice_id not in link.granted_terms_by_id:
            raise self._no_owner("the key's slice is being granted")
        if link.state is not TargetState.LIVE:
            raise self._no_owner("the key's owner does not answer")
        return link.spec

    async def _async_run(self) -> None:
        """Look at the group at each change and each tick."""
        while not self._lease.stopped:
            woken = self._wake.is_set()
            self._wake.clear()
            await self._async_step(woken)
            await async_wait_event(self._wake, TICK)

    async def _async_step(self, woken: bool) -> None:
        """Do what the group needs now, most urgent first."""
        self._ensure_links()
        await self._lease.async_keep_confirmed(monotonic_now())
        now = monotonic_now()
        self._lease.note_disabled(now)
        if self._releasing:
            return
        if not self._note_confirmed(now):
            await self._async_meet_targets(now)
            return
        await self._async_look_at_slices(now, woken)
        await self._moves.async_name_starts(monotonic_now())
        await self._lease.async_save(monotonic_now())
        await self._lease.async_replace_successor(monotonic_now())
        moved = await self._moves.async_move_planned(monotonic_now())
        changed = await self._moves.async_change_targets(monotonic_now())
        await self._balance.async_balance(monotonic_now())
        if moved or changed:
            self.wake()

    async def _async_look_at_slices(self, now: float, woken: bool) -> None:
        """Grant and move what must be.

        A group whose slices are all held is looked through again only when something
        changed, or a second passed: at rest that look was most of a holder's work.
        """
        settled = self.record is self._settled_record and not woken
        if settled and now - self._scanned_at < SCAN_INTERVAL:
            await self._moves.async_replace_lost(now)
            return
        self._scanned_at = now
        # Reports go first: a slice that an earlier holder moved must not be taken for
        # one that its recorded, lost owner leaves behind.
        self._grants.adopt_reports()
        await self._moves.async_replace_lost(now)
        all_held = await self._grants.async_grant_missing(monotonic_now())
        self._settled_record = self.record if all_held else None

    @callback
    def _note_confirmed(self, now: float) -> bool:
        """Return whether grants may be given; renew at once when that begins."""
        confirmed = self._may_grant(now)
        if confirmed and not self._was_confirmed:
            self._links.nudge()
        self._was_confirmed = confirmed
        return confirmed

    async def _async_meet_targets(self, now: float) -> None:
        """Name the starts of targets when too few of them are named to confirm us."""
        waited = now - self._started_at
        if self._links.all_met() or waited > MEETING_PATIENCE:
            await self._lease.async_name_starts(now)

    @callback
    def _may_grant(self, now: float) -> bool:
        """Return whether grants may be renewed or given at `now`."""
        return self._lease.may_grant(now)

    @callback
    def _on_fenced(self, err: TargetFencedError) -> None:
        """Hear that a target follows another holder."""
        self._lease.on_fenced(err)

    @callback
    def _begin_term(self) -> None:
        """Go on under a new term of ours."""
        self._grants.begin_term()
        self._env.listener.group_acquired(self.id, self.record.term)

    @callback
    def _ensure_links(self) -> None:
        """Have a link to each declared target of the record."""
        service = self._env.service_of(self.id.service)
        if service is None:
            return
        wanted = self.record.targets | (self._lease.next_target_set or frozenset())
        for target in sorted(wanted):
            spec = service.targets_by_id.get(target)
            if spec is not None:
                self._links.ensure(spec, self._lease.as_lease())

    @staticmethod
    def _no_owner(hint: str) -> NoOwnerError:
        """Return the error of a request that may come again soon."""
        return NoOwnerError(hint, retry_after=RETRY_AFTER_NO_OWNER)
