"""Keeping of one service's keys by the instance that holds the lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import ConfigurationError, StoreError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment import (
    Assignment,
    divide_evenly,
)
from swiftpin.keyranges.assignment_record import AssignmentRecord
from swiftpin.keyranges.const import (
    CONTROL_TIMEOUT,
    GRANT_RENEW,
    HOLD_BEYOND_RENEWAL,
    PLAN_INTERVAL,
    RENEWALS_PER_SECOND,
)
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.key_load import KeyLoad
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.mover import Mover
from swiftpin.keyranges.planner import plan_moves
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_session import TargetSession
from swiftpin.keyranges.target_speed import TargetSpeed
from swiftpin.model.target import Target
from swiftpin.platform.store_client import StoreClient
from swiftpin.platform.target_control import TargetControl
from swiftpin.store_errors import ObjectMissingError

FIRST_TARGETS_WAIT: Final = 1.5
"""Seconds without a new target after which the first division is made: each target that
registers later would cost moves."""

READ_PAUSE: Final = 0.15
"""Seconds between two tries to read the record."""

MOST_RENEW_PAUSE: Final = 2.5
"""Seconds between two renewals at most."""

RENEW_TICK: Final = 0.1
"""Seconds between two looks at which grants are due."""

FAILING_RENEW: Final = 0.25
"""Seconds between two tries at a target that did not answer."""

PUBLISH_PAUSE: Final = 0.02
"""Seconds for which changes of the map are collected: moves end in bursts, and each
change goes to every instance."""

FEW_MEMBERS: Final = 12
"""Instances above which changes are collected for longer, in proportion: 72 instances
that took 50 changes a second spent most of their processor time on them."""

MOST_JOINED: Final = 24
LEAST_JOINED: Final = 6
"""Neighbouring segments that are joined at a time, and for which alone the record is
written: each segment is a grant to renew, each write of the record is paid for."""

COLD_SHARE: Final = 0.5
"""Part of its capacity that a target has in the seconds after its start."""


class RangeAssigner:
    """Grants a service's keys, renews the grants and moves keys where load is.

    A move is recorded first, then the former owner's answer to a release is awaited, or
    the end of what it was granted, and only then is the new owner granted. So no
    successor can miss a target that may hold keys, and no two targets hold the same.
    """

    def __init__(
        self,
        *,
        service: str,
        client: StoreClient,
        control: TargetControl,
        directory: TargetDirectory,
        lease: LeaseElection,
        fences: Fences,
        health: StoreHealth,
        longest_hold: float,
        health_path: str,
        on_map: Callable[[KeyMap], None],
        count_members: Callable[[], int],
        longest_request: Callable[[], float],
    ) -> None:
        self.load = KeyLoad()
        self.speed = TargetSpeed()
        self._service = service
        self._record = AssignmentRecord(service, client, health)
        self._granter = Granter(
            control=control,
            directory=directory,
            health_path=health_path,
            usual_hold=self._usual_hold,
        )
        self._mover = Mover(
            granter=self._granter,
            directory=directory,
            longest_request=longest_request,
        )
        self._directory = directory
        self._lease = lease
        self._health = health
        self._longest_hold = longest_hold
        self._on_map = on_map
        self._count_members = count_members
        self._term = lease.term
        self._took_over_at = suspend_aware_now()
        self._assignment: Assignment | None = None
        self._fences = fences
        fences.begin_term(self._term)
        self._is_recording = False
        """Whether a plan, whose fences are taken, is on its way to the record."""

        self._granted_fences: set[int] = set()
        self._moves_by_first: dict[int, asyncio.Task[None]] = {}
        self._map_number = 0
        self._publishing: asyncio.TimerHandle | None = None
        self._published: tuple[tuple[int, ...], tuple[str, ...]] | None = None

    async def async_run(self) -> None:
        """Keep the keys until cancelled."""
        try:
            await self._async_load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._async_renew_all())
                group.create_task(self._async_plan())
        finally:
            for task in self._moves_by_first.values():
                task.cancel()
            if self._publishing is not None:
                self._publishing.cancel()

    # The record.

    async def _async_load(self) -> None:
        """Read the record; make the first one when there is none."""
        while self._assignment is None:
            try:
                await self._async_read_record()
            except ObjectMissingError:
                await self._async_first_division()
            except (StoreError, ConfigurationError) as err:
                log_message(
                    message_type="assignment_unread",
                    level="warning",
                    service=self._service,
                    error=str(err),
                )
                await asyncio.sleep(READ_PAUSE)
        self._publish()

    async def _async_read_record(self) -> None:
        """Take the assignment that a former holder of the lease left."""
        assignment = await self._record.async_take_over(self._fences)
        self._assignment = assignment
        hold = self._predecessor_hold(len(assignment.segments))
        # Whatever the former holder granted ends at the latest by then; what it sent
        # last may still be on its way.
        arrived_at = self._took_over_at + CONTROL_TIMEOUT
        for segment in assignment.segments:
            self._granted_fences.add(segment.fence)
            for target in (segment.owner, segment.former):
                if target:
                    session = self._granter.session(target)
                    session.note_grant(arrived_at, hold)
        log_message(
            message_type="assignment_loaded",
            service=self._service,
            revision=self._record.revision,
            segments=len(assignment.segments),
            term=self._term,
        )
        for segment in assignment.segments:
            if segment.former:
                self._granted_fences.discard(segment.fence)
                # The former assigner may have sent a release for it.
                self._start_move(segment, arrived_at)

    async def _async_first_division(self) -> None:
        """Divide the keys once the targets are there."""
        known = -1
        while True:
            now = suspend_aware_now()
            targets = self._directory.serving_targets(self._service, now)
            if targets and len(targets) == known:
                break
            known = len(targets)
            await asyncio.sleep(FIRST_TARGETS_WAIT)
        weights = {target.id: float(target.slots) for target in targets}
        assignment = divide_evenly(weights, self._fences.take())
        await self._record.async_create(assignment)
        self._assignment = assignment
        log_message(
            message_type="assignment_made", service=self._service, targets=len(targets)
        )

    # Planning.

    async def _async_plan(self) -> None:
        """Look at the load again and again, and move keys."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL)
            now = suspend_aware_now()
            self.load.decay(now)
            self._directory.sweep(now)
            if not self._lease.is_held(now) or self._health.is_lost:
                continue
            await self._async_plan_once(now)

    async def _async_plan_once(self, now: float) -> None:
        """Plan, record and start moves."""
        assignment = self._assignment
        assert assignment is not None
        moves = plan_moves(assignment, self._capacities(now), self.load.rates_by_key)
        joined, joined_fences = assignment.with_joined(self._fences.next, MOST_JOINED)
        if not moves and len(joined_fences) < LEAST_JOINED:
            return
        self._fences.take(len(joined_fences))
        first_fence = self._fences.take(len(moves))
        planned = joined.with_moves(moves, first_fence)
        self._is_recording = True
        try:
            if not await self._record.async_replace(planned):
                return
        finally:
            self._is_recording = False
        # The owner holds all keys of a joined segment under their earlier fences.
        self._granted_fences.update(joined_fences)
        # Moves that ended while the record was written are not lost by this.
        self._assignment = _keep_finished(planned, self._assignment or assignment)
        self._log_moves(moves, first_fence)
        for segment in self._assignment.segments:
            if segment.former and segment.fence >= first_fence:
                self._start_move(segment)
        self._publish()

    @callback
    def _capacities(self, now: float) -> dict[str, float]:
        """Return the requests a second that each eligible target can bear."""
        capacities = {}
        for target in self._directory.serving_targets(self._service, now):
            if self._granter.is_lost(target.id, now):
                continue
            capacity = self.speed.capacity(target.id, target.slots)
            seen_since = self._directory.seen_since_by_id.get(target.id, now)
            if now - seen_since < target.cold_for:
                capacity *= COLD_SHARE
            capacities[target.id] = capacity
        return capacities

    @callback
    def _log_moves(self, moves: list[Move], first_fence: int) -> None:
        """Write a line for each planned move."""
        for number, move in enumerate(moves):
            log_message(
                message_type="move_planned",
                service=self._service,
                first=move.first,
                last=move.last,
                source=move.source,
                to=move.to,
                fence=first_fence + number,
                revision=self._record.revision,
            )

    # Moves.

    @callback
    def _start_move(self, segment: Segment, asked_at: float | None = None) -> None:
        """Begin to carry a recorded move out."""
        task = asyncio.create_task(self._async_move(segment, asked_at))
        self._moves_by_first[segment.first] = task
        task.add_done_callback(lambda done: self._note_move_ended(segment.first, done))

    @callback
    def _note_move_ended(self, first: int, task: asyncio.Task[None]) -> None:
        """Forget a move that ended; report what should not happen."""
        if self._moves_by_first.get(first) is task:
            del self._moves_by_first[first]
        if not task.cancelled() and (err := task.exception()) is not None:
            log_message(message_type="move_failed", level="error", error=repr(err))

    async def _async_move(self, segment: Segment, asked_at: float | None) -> None:
        """Take the keys from their former owner and grant them to the new one.

        `asked_at` is when a release may have been sent of which nothing is known.
        """
        started_at = suspend_aware_now()
        handover = await self._mover.async_take_back(segment, asked_at)
        if handover is not None:
            self._granter.handovers_by_fence[segment.fence] = handover
        released_at = suspend_aware_now()
        granted = await self._mover.async_grant_new(segment)
        assert self._assignment is not None
        self._assignment = self._assignment.with_replaced(
            segment, replace(segment, former="")
        )
        if granted:
            self._granted_fences.add(segment.fence)
        self._publish()
        log_message(
            message_type="move_done" if granted else "move_stuck",
            service=self._service,
            first=segment.first,
            last=segment.last,
            to=segment.owner,
            fence=segment.fence,
            handover=handover is not None,
            release_seconds=released_at - started_at,
            seconds=suspend_aware_now() - started_at,
        )

    # Grants.

    @callback
    def _renew_pause(self) -> float:
        """Return the seconds between two renewals of a grant."""
        assert self._assignment is not None
        busy = len(self._assignment.segments) / RENEWALS_PER_SECOND
        return max(GRANT_RENEW, min(busy, MOST_RENEW_PAUSE))

    @callback
    def _usual_hold(self) -> float:
        """Return the seconds for which grants are given at rest."""
        return min(self._renew_pause() + HOLD_BEYOND_RENEWAL, self._longest_hold)

    @callback
    def _predecessor_hold(self, segments: int) -> float:
        """Return the seconds for which a former assigner gave grants at most.

        It knew a number of segments near to that of the record.
        """
        pause = GRANT_RENEW if segments < RENEWALS_PER_SECOND / 2 else MOST_RENEW_PAUSE
        return min(pause + HOLD_BEYOND_RENEWAL, self._longest_hold)

    async def _async_renew_all(self) -> None:
        """Renew every target's grants until cancelled."""
        async with asyncio.TaskGroup() as group:
            tasks_by_target: dict[str, asyncio.Task[None]] = {}
            due_by_target: dict[str, float] = {}
            while True:
                now = suspend_aware_now()
                owners = self._owners()
                for target_id in owners:
                    task = tasks_by_target.get(target_id)
                    if task is not None and not task.done():
                        continue
                    if now < due_by_target.get(target_id, 0.0):
                        continue
                    is_failing = self._granter.session(target_id).is_failing
                    pause = FAILING_RENEW if is_failing else self._renew_pause()
                    due_by_target[target_id] = now + pause
                    tasks_by_target[target_id] = group.create_task(
                        self._async_renew(target_id)
                    )
                for target_id in tasks_by_target.keys() - owners:
                    if tasks_by_target[target_id].done():
                        del tasks_by_target[target_id]
                await asyncio.sleep(RENEW_TICK)

    @callback
    def _owners(self) -> set[str]:
        """Return the targets that own keys."""
        assert self._assignment is not None
        return {
            segment.owner for segment in self._assignment.segments if not segment.former
        }

    async def _async_renew(self, target_id: str) -> None:
        """Renew one target's grants once."""
        session = self._granter.session(target_id)
        target = self._directory.targets_by_id.get(target_id)
        if target is None or session.is_gone:
            return
        async with session.calls:
            assert self._assignment is not None
            for segment in self._assignment.segments:
                if segment.owner != target_id or segment.former:
                    continue
                if not self._stands(segment):
                    continue
                if not await self._async_renew_segment(target, segment, session):
                    return

    async def _async_renew_segment(
        self, target: Target, segment: Segment, session: TargetSession
    ) -> bool:
        """Renew one grant; return whether the target answers."""
        taken = await self._granter.async_grant(target, segment, session)
        if not taken and not session.is_failing and not session.is_gone:
            if self._is_recording or not self._stands(segment):
                # A fence above those of the plan would be above its moves' too; the
                # next renewal sees what has become of the keys.
                return True
            segment = self._refence(segment)
            taken = await self._granter.async_grant(target, segment, session)
        if taken and segment.fence not in self._granted_fences:
            self._granted_fences.add(segment.fence)
            self._publish()
        return taken

    @callback
    def _stands(self, segment: Segment) -> bool:
        """Return whether a segment is still as it was when renewals began.

        One that was cut, joined or given away meanwhile must not be granted again.
        """
        assert self._assignment is not None
        return self._assignment.segment_of(segment.first) == segment

    @callback
    def _refence(self, segment: Segment) -> Segment:
        """Give a segment a higher fence after its target refused the present one.

        The target has seen a higher one, from a release that was sent to it; the keys
        are its own all the same, since nobody else was granted them.
        """
        assert self._assignment is not None
        refenced = replace(segment, fence=self._fences.take())
        self._assignment = self._assignment.with_replaced(segment, refenced)
        return refenced

    # The map for routing.

    @callback
    def _publish(self) -> None:
        """Hand out the present map soon, together with what changes until then."""
        if self._publishing is None:
            loop = asyncio.get_running_loop()
            pause = PUBLISH_PAUSE * max(1.0, self._count_members() / FEW_MEMBERS)
            self._publishing = loop.call_later(pause, self._publish_now)

    @callback
    def _publish_now(self) -> None:
        """Hand out the present map if it differs from the last one."""
        self._publishing = None
        assert self._assignment is not None
        firsts: list[int] = []
        owners: list[str] = []
        for segment in self._assignment.segments:
            is_served = not segment.former and segment.fence in self._granted_fences
            owner = segment.owner if is_served else ""
            if owners and owners[-1] == owner:
                continue
            firsts.append(segment.first)
            owners.append(owner)
        drawn = (tuple(firsts), tuple(owners))
        if drawn == self._published:
            return
        self._published = drawn
        self._map_number += 1
        self._on_map(
            KeyMap(
                service=self._service,
                term=self._term,
                number=self._map_number,
                firsts=drawn[0],
                owners=drawn[1],
            )
        )


@callback
def _keep_finished(planned: Assignment, present: Assignment) -> Assignment:
    """Return the planned assignment without moves that have ended meanwhile."""
    open_fences = {segment.fence for segment in present.segments if segment.former}
    known_fences = {segment.fence for segment in present.segments}
    return Assignment(
        segments=tuple(
            replace(segment, former="")
            if segment.former
            and segment.fence in known_fences
            and segment.fence not in open_fences
            else segment
            for segment in planned.segments
        )
    )
