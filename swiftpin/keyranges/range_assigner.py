"""Assignment of one service's keys by the instance that holds the lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace
import math
from types import MappingProxyType
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment_loader import AssignmentLoader
from swiftpin.keyranges.assignment_record import AssignmentRecord
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.backoff_shares import BackoffShares
from swiftpin.keyranges.changing_target_speed import ChangingTargetSpeed
from swiftpin.keyranges.const import CONTROL_TIMEOUT, PLAN_INTERVAL
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.grant_renewer import GrantRenewer
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.hold_times import HoldLimit
from swiftpin.keyranges.key_load import KeyLoad
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.keyranges.key_map_publisher import KeyMapPublisher
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.lost_target_check import LostTargetCheck
from swiftpin.keyranges.move import Move
from swiftpin.keyranges.move_runner import MoveRunner
from swiftpin.keyranges.mover import Mover
from swiftpin.keyranges.planner import plan_moves
from swiftpin.keyranges.surging_key_load import SurgingKeyLoad
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.keyranges.target_speed import CapacityBounds, TargetSpeed
from swiftpin.keyranges.uneven_planner import UnevenPlanner
from swiftpin.keyranges.unrecorded_grants import UnrecordedGrants
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.model.target import Target
from swiftpin.platform.store_client import StoreClient
from swiftpin.platform.target_control import TargetControl

MAX_MERGED_SEGMENTS: Final = 24
MIN_MERGED_SEGMENTS: Final = 6
"""Maximum number of merged segments per plan, and minimum number for which the record
is written if there are no moves. Each segment is a grant to renew, and each write of
the record has a cost."""

MIN_RATE_LIMIT: Final = 0.01
"""Minimum capacity, in requests per second, of a target that names a rate limit: a
utilization can't be computed for a capacity of zero."""

COLD_CAPACITY_SHARE: Final = 0.5
"""Share of its capacity that a target has in the seconds after its start."""


@callback
def _no_rate_limit(target_id: str) -> float:
    """Return infinity, for targets without a rate limit."""
    return math.inf


@callback
def _always() -> bool:
    """Return True, for assigners whose links are not compared with others."""
    return True


class RangeAssigner:
    """Grants a service's keys, renews the grants and moves keys to balance the load.

    A move is recorded first. Then the assigner waits until the former owner has
    answered a release or its grants have expired, and only then grants the keys to the
    new owner. So a successor knows of every target that may hold keys, and no two
    targets hold the same keys.
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
        max_hold: float,
        health_path: str,
        on_map: Callable[[KeyMap], None],
        count_members: Callable[[], int],
        max_request_time: Callable[[], float],
        get_service_spec: Callable[[], ServiceSpec],
        get_rate_limit: Callable[[str], float] = _no_rate_limit,
        may_plan: Callable[[], bool] = _always,
        uneven_planner: UnevenPlanner | None = None,
        known_factors: Mapping[str, float] = MappingProxyType({}),
        key_map: KeyMap | None = None,
    ) -> None:
        self._uneven_planner = uneven_planner
        """Planner of a service with uneven demand on its keys, otherwise None."""

        self.load = KeyLoad() if uneven_planner is None else SurgingKeyLoad()
        self.speed = TargetSpeed() if uneven_planner is None else ChangingTargetSpeed()
        self.speed.restore_factors(known_factors)
        self.backoffs = BackoffShares()
        self._service = service
        self._get_service_spec = get_service_spec
        self._get_rate_limit = get_rate_limit
        """Returns the requests per second that a target accepts, or infinity."""

        self._count_members = count_members
        self._may_plan = may_plan
        """Returns whether calls that fail show that their targets are lost."""

        self._directory = directory
        self._lease = lease
        self._health = health
        self._fences = fences
        fences.begin_term(lease.term)
        self._took_over_at = suspend_aware_now()
        self._state = AssignmentState()
        self._hold_limit = HoldLimit(max_hold)
        self._record = AssignmentRecord(service, client, health)
        self._sessions = TargetSessions(directory)
        self._granter = Granter(
            control=control,
            sessions=self._sessions,
            directory=directory,
            health_path=health_path,
            regular_hold=self._regular_hold,
            fences=fences,
            term=lease.term,
        )
        self._publisher = KeyMapPublisher(
            service=service,
            term=lease.term,
            state=self._state,
            on_map=on_map,
            count_members=count_members,
            fences=fences,
            get_factors=self.speed.published_factors,
        )
        self._renewer = GrantRenewer(
            state=self._state,
            granter=self._granter,
            sessions=self._sessions,
            directory=directory,
            publisher=self._publisher,
        )
        self._lost_target_check = LostTargetCheck(
            service=service,
            state=self._state,
            sessions=self._sessions,
            directory=directory,
            control=control,
            health_path=health_path,
        )
        mover = Mover(
            granter=self._granter,
            sessions=self._sessions,
            directory=directory,
            max_request_time=max_request_time,
        )
        self._loader = AssignmentLoader(
            service=service,
            record=self._record,
            granter=self._granter,
            sessions=self._sessions,
            directory=directory,
            hold_limit=self._hold_limit,
            term=lease.term,
            era=client.era,
            unrecorded_grants=UnrecordedGrants(
                service=service,
                mover=mover,
                sessions=self._sessions,
                directory=directory,
                health=health,
            ),
            may_have_lost_record=lambda: lease.may_have_lost_records,
            key_map=key_map,
        )
        self._moves = MoveRunner(
            service=service,
            state=self._state,
            granter=self._granter,
            mover=mover,
            publisher=self._publisher,
        )

    async def async_run(self) -> None:
        """Assign the keys until cancelled."""
        try:
            await self._async_load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._renewer.async_run())
                group.create_task(self._lost_target_check.async_run())
                group.create_task(self._async_plan())
        finally:
            self._moves.unload()
            self._publisher.unload()

    async def _async_load(self) -> None:
        """Load the previous assigner's assignment, or create the first one."""
        assignment = await self._loader.async_load(self._took_over_at)
        self._state.assignment = assignment
        for segment in assignment.segments:
            if segment.former_owner:
                # The previous assigner may have sent a release for this move. It can't
                # arrive later than the time at which the kernel stops delivering it.
                self._moves.start(segment, self._took_over_at + CONTROL_TIMEOUT)
            elif self._loader.has_granted_keys:
                self._state.granted_fences.add(segment.fence)
        self._publisher.publish()

    @callback
    def _regular_hold(self) -> float:
        """Return the duration of a grant to a target that answers, in seconds."""
        current = self._state.current
        return self._hold_limit.next_hold(
            len(current.segments), current.max_hold, suspend_aware_now()
        )

    async def _async_plan(self) -> None:
        """Plan moves periodically."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL)
            now = suspend_aware_now()
            self.load.decay(now)
            self._directory.expire_targets(now)
            self._prune_state(now)
            if not self._lease.is_held(now) or self._health.is_lost:
                continue
            if not await self._async_repeat_record():
                continue
            if self._may_miss_live_owners(now) or not self._may_plan():
                continue
            await self._async_plan_once(now)
            if self._uneven_planner is not None:
                # The speeds of the targets may have changed without a move.
                self._publisher.publish()

    async def _async_repeat_record(self) -> bool:
        """Write the record again if a restore may have undone it.

        Return whether the record contains all grants, so that moves may be planned.
        """
        if not self._record.must_be_repeated():
            return True
        before = self._record.complete_era
        if not await self._record.async_replace(self._state.current):
            return False
        log_message(
            message_type="assignment_written_again",
            service=self._service,
            era=self._record.complete_era,
            before=before,
            revision=self._record.revision,
        )
        return True

    @callback
    def _may_miss_live_owners(self, now: float) -> bool:
        """Return whether an owner may be alive although its entry is missing.

        The first list of targets after a start may have been read right after a store
        outage. Targets missing from it would be considered gone and their keys moved,
        with no address to send the releases to; this left most keys without an owner
        for 5 s. Waiting for a reliable list before acquiring the lease is no
        alternative: after a restart of all instances, no grant would be renewed for
        2.3 s.
        """
        if self._directory.is_likely_complete(now):
            return False
        return (
            not self._state.involved_targets() <= self._directory.targets_by_id.keys()
        )

    @callback
    def _prune_state(self, now: float) -> None:
        """Remove the state of target lives that are gone; each start adds a new one."""
        involved = self._state.involved_targets()
        self._sessions.prune(involved, now)
        self._state.prune_granted_fences()
        self._granter.prune_handovers(self._state.current)
        self.backoffs.prune(now)
        self.speed.retain_targets(involved | self._directory.targets_by_id.keys())

    async def _async_plan_once(self, now: float) -> None:
        """Plan, record and start moves."""
        current = self._state.current
        capacities = self._capacities(now)
        bounds = {
            target: self._capacity_bounds(target, capacity)
            for target, capacity in capacities.items()
        }
        limited_targets = self._limited_targets(now) & capacities.keys()
        if self._uneven_planner is None:
            moves = plan_moves(
                current,
                capacities,
                self.load.rates_by_key,
                bounds,
                limited_targets=limited_targets,
            )
        else:
            moves = self._uneven_planner.plan(
                current,
                capacities,
                {target: self.speed.seconds(target) for target in capacities},
                self.load.planning_rates(),
                bounds,
                limited_targets=limited_targets,
                restricted_targets=self._restricted_targets(capacities),
                now=now,
            )
        merged, merged_fences = current.with_merged_neighbours(
            self._fences.next_fence, MAX_MERGED_SEGMENTS
        )
        if not moves and len(merged_fences) < MIN_MERGED_SEGMENTS:
            return
        self._fences.allocate(len(merged_fences))
        first_fence = self._fences.allocate(len(moves))
        planned = merged.with_moves(moves, first_fence)
        limit = self._hold_limit.limit_for_record(
            len(current.segments), len(planned.segments), now
        )
        planned = replace(planned, max_hold=limit)
        if not await self._record.async_replace(planned):
            return
        # The owner already holds all keys of a merged segment, under earlier fences.
        self._state.granted_fences.update(merged_fences)
        # Keep the completion of moves that finished while the record was written.
        self._state.assignment = planned.without_finished_moves(self._state.current)
        self._log_moves(moves, first_fence)
        for segment in self._state.current.segments:
            if segment.former_owner and segment.fence >= first_fence:
                self._moves.start(segment)
        self._publisher.publish()

    @callback
    def _capacities(self, now: float) -> dict[str, float]:
        """Return the capacity of each eligible target in requests per second."""
        capacities = {}
        for target in self._directory.serving_targets(self._service, now):
            if self._sessions.is_lost(target.id, now):
                continue
            capacity = self.speed.capacity(target.id, target.slots)
            if self._is_cold(target, now):
                capacity = min(
                    capacity * COLD_CAPACITY_SHARE, self._get_service_spec().cold_rate
                )
            capacity *= self.backoffs.available_share(
                target.id, self._count_members(), now
            )
            capacities[target.id] = min(capacity, self._max_rate(target.id))
        return capacities

    @callback
    def _restricted_targets(self, capacities: Mapping[str, float]) -> set[str]:
        """Return the targets that are cold, limited to a rate or in a back-off period.

        These have less capacity than by their speed.
        """
        return {
            target_id
            for target_id, capacity in capacities.items()
            if capacity
            < self.speed.capacity(
                target_id, self._directory.targets_by_id[target_id].slots
            )
        }

    @callback
    def _max_rate(self, target_id: str) -> float:
        """Return the maximum capacity that the rate limit of a target allows."""
        return max(self._get_rate_limit(target_id), MIN_RATE_LIMIT)

    @callback
    def _is_cold(self, target: Target, now: float) -> bool:
        """Return whether a target has reduced capacity after its start."""
        cold_start = self._get_service_spec().cold_start
        return self._directory.cold_time_left(target, cold_start, now) > 0

    @callback
    def _limited_targets(self, now: float) -> set[str]:
        """Return the targets that are limited to the rate of cold targets."""
        if math.isinf(self._get_service_spec().cold_rate):
            return set()
        return {
            target.id
            for target in self._directory.serving_targets(self._service, now)
            if self._is_cold(target, now)
        }

    @callback
    def _capacity_bounds(self, target_id: str, capacity: float) -> CapacityBounds:
        """Return lower and upper bounds of an eligible target's capacity."""
        slots = self._directory.targets_by_id[target_id].slots
        bounds = self.speed.capacity_bounds(target_id, slots)
        # A target that has just started may have less capacity than ever measured.
        return CapacityBounds(
            low=min(bounds.low, capacity),
            high=min(bounds.high, self._max_rate(target_id)),
        )

    @callback
    def _log_moves(self, moves: list[Move], first_fence: int) -> None:
        """Log each planned move."""
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
