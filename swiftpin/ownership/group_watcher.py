"""Watch over groups that other instances hold, or nobody."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
from typing import Final

from swiftpin.config.catalog import Catalog
from swiftpin.config.service import Service
from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import PeerError
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.instance_id import name_of
from swiftpin.ownership.group_holder import GroupHolder
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_names import GroupNames
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.group_watch import GroupWatch
from swiftpin.ownership.live_instances import LiveInstances
from swiftpin.ownership.peers import Peers, is_gone
from swiftpin.ownership.record_view import RecordView
from swiftpin.ownership.rules import acknowledge, successor_may_take_over
from swiftpin.ownership.successor_finder import SuccessorFinder
from swiftpin.ownership.takeover import Takeover
from swiftpin.ownership.task_set import TaskSet
from swiftpin.ownership.timing import Timing

SWEEP_INTERVAL: Final = 0.25
"""Seconds between looks at all groups of all services."""

BOOTSTRAP_STEP: Final = 0.5
"""Seconds that each instance waits for those before it to create a group."""

GREETING_PATIENCE: Final = 0.3
"""Seconds for which a new group waits until a successor for it is known."""

TAKEOVER_RETRY: Final = 0.5


class GroupWatcher:
    """Creates groups, and takes them over from holders that are silent.

    `is_held` tells whether this instance holds a group or may hold none any more;
    `hold` begins to hold one.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        catalog: Catalog,
        records: RecordView,
        names: GroupNames,
        live: LiveInstances,
        successors: SuccessorFinder,
        peers: Peers,
        takeover: Takeover,
        timing: Timing,
        tasks: TaskSet,
        is_held: Callable[[GroupId], bool],
        hold: Callable[[GroupHolder], None],
    ) -> None:
        self._instance_id = instance_id
        self._catalog = catalog
        self._records = records
        self._names = names
        self._live = live
        self._successors = successors
        self._peers = peers
        self._takeover = takeover
        self._timing = timing
        self._tasks = tasks
        self._is_held = is_held
        self._hold = hold
        self._watches_by_group: dict[GroupId, GroupWatch] = {}
        self._succeeded: set[GroupId] = set()

    @callback
    def setup(self) -> None:
        """Begin to watch."""
        self._tasks.spawn(self._async_run(), "ownership-watch")

    @callback
    def acknowledged(
        self, sender: str, beats: list[GroupHeartbeat], now: float
    ) -> frozenset[GroupId]:
        """Return the groups that this instance confirms `sender` as holder of."""
        accepted: set[GroupId] = set()
        for beat in beats:
            known = self._records.get(beat.group)
            if known is None or self._is_held(beat.group):
                continue
            if not self._takeover.acknowledges(known):
                continue
            if not acknowledge(known, self._instance_id, sender, beat.term):
                continue
            watch = self._watch(beat.group)
            watch.heard_at = watch.acknowledged_at = now
            accepted.add(beat.group)
        return frozenset(accepted)

    async def _async_run(self) -> None:
        """Look at the groups until stopped."""
        swept_at = -math.inf
        while True:
            now = monotonic_now()
            if now - swept_at >= SWEEP_INTERVAL:
                swept_at = now
                await self._async_sweep(now)
            for group in list(self._succeeded):
                self._watch_as_successor(group, now)
            await asyncio.sleep(self._timing.watch_interval)

    async def _async_sweep(self, now: float) -> None:
        """Look at every group once; those to succeed are looked at more often."""
        succeeded: set[GroupId] = set()
        for service in list(self._catalog.services_by_name.values()):
            if not service.keyed:
                continue
            for number in range(service.groups):
                group = self._names.group(service.name, number)
                if await self._async_look(service, group, now):
                    succeeded.add(group)
        self._succeeded = succeeded

    async def _async_look(self, service: Service, group: GroupId, now: float) -> bool:
        """Look at one group; return whether this instance is its successor."""
        if self._is_held(group):
            return False
        record = self._records.get(group)
        if record is None:
            await self._async_bootstrap(service, group, now)
        elif record.holder == self._instance_id:
            await self.async_hold_own(group)
        elif record.successor == self._instance_id:
            return True
        else:
            self._watch_as_third(group, record, now)
        return False

    @callback
    def _watch_as_successor(self, group: GroupId, now: float) -> None:
        """Watch the holder of a group that this instance is to take over."""
        record = self._records.get(group)
        if record is None or self._is_held(group):
            return
        if record.successor == self._instance_id:
            self._watch_holder(group, record, now)

    async def _async_bootstrap(
        self, service: Service, group: GroupId, now: float
    ) -> None:
        """Create the record of a new group, unless an instance before us does."""
        watch = self._watch(group)
        if watch.absent_since is None:
            watch.absent_since = now
        waited = now - watch.absent_since
        if waited < self._live.rank(group) * BOOTSTRAP_STEP:
            return
        if waited < GREETING_PATIENCE and self._successors.find(group) is None:
            return
        if now - watch.tried_at < TAKEOVER_RETRY:
            return
        watch.tried_at = now
        self._hold_new(await self._takeover.async_create(service, group))

    async def async_hold_own(self, group: GroupId) -> bool:
        """Hold a group whose record names this instance."""
        if self._is_held(group):
            return False
        return self._hold_new(await self._takeover.async_resume(group))

    @callback
    def _watch_holder(self, group: GroupId, record: GroupRecord, now: float) -> None:
        """Take over as successor once the holder is silent for too long.

        The targets of a fenced group decide between two holders, so a successor may
        act on a mere suspicion; that of a cooperative group has a promise to keep.
        """
        watch = self._watch(group)
        if watch.term != record.term:
            watch.term = record.term
            watch.acknowledged_at = now
        if not record.fenced:
            late = successor_may_take_over(watch.acknowledged_at, self._timing, now)
        else:
            silence = now - watch.acknowledged_at
            late = silence > self._timing.silence_limit
            if not late and silence > self._timing.probe_after:
                self._suspect(group, record, watch, now)
        if late:
            self._try_takeover(group, record, watch, third_party=False, now=now)

    @callback
    def _suspect(
        self, group: GroupId, record: GroupRecord, watch: GroupWatch, now: float
    ) -> None:
        """Ask a holder that missed a heartbeat for a sign of life."""
        if now - watch.probed_at < self._timing.probe_after:
            return
        watch.probed_at = now
        self._tasks.spawn(
            self._async_probe_holder(group, record, watch), "ownership-suspicion"
        )

    async def _async_probe_holder(
        self, group: GroupId, record: GroupRecord, watch: GroupWatch
    ) -> None:
        """Take over at once when the holder's process is gone."""
        try:
            await self._peers.async_heartbeat(record.holder, [])
        except PeerError as err:
            if not is_gone(err) or self._records.get(group) is not record:
                return
            now = monotonic_now()
            self._try_takeover(group, record, watch, third_party=False, now=now)

    @callback
    def _watch_as_third(self, group: GroupId, record: GroupRecord, now: float) -> None:
        """Probe holder and successor when it is this instance's turn to."""
        watch = self._watch(group)
        if now - watch.probed_at < self._timing.third_party_interval:
            return
        watch.probed_at = now
        if not self._is_my_turn(group, record):
            watch.failing_since = None
            return
        self._tasks.spawn(self._async_probe(group, record, watch), "ownership-probe")

    async def _async_probe(
        self, group: GroupId, record: GroupRecord, watch: GroupWatch
    ) -> None:
        """Take over when neither holder nor successor answers for long."""
        if await self.async_answers(record.holder) or (
            record.successor is not None and await self.async_answers(record.successor)
        ):
            watch.failing_since = None
            return
        now = monotonic_now()
        if watch.failing_since is None:
            watch.failing_since = now
        if now - watch.failing_since >= self._timing.third_party_patience:
            self._try_takeover(group, record, watch, third_party=True, now=now)

    async def async_answers(self, instance_id: str) -> bool:
        """Return whether that very incarnation answers."""
        try:
            await self._peers.async_heartbeat(instance_id, [])
        except PeerError:
            return False
        return True

    @callback
    def _is_my_turn(self, group: GroupId, record: GroupRecord) -> bool:
        """Return whether this instance is the first of the third ones."""
        involved = [name_of(record.holder), name_of(record.successor or "")]
        return self._live.is_next(group, involved)

    @callback
    def _try_takeover(
        self,
        group: GroupId,
        record: GroupRecord,
        watch: GroupWatch,
        *,
        third_party: bool,
        now: float,
    ) -> None:
        """Start one attempt, not more often than every so often."""
        if now - watch.tried_at < TAKEOVER_RETRY:
            return
        watch.tried_at = now
        self._tasks.spawn(
            self._async_take_over(group, record, watch, third_party),
            "ownership-takeover",
        )

    async def _async_take_over(
        self,
        group: GroupId,
        record: GroupRecord,
        watch: GroupWatch,
        third_party: bool,
    ) -> None:
        """Take the group over and hold it."""
        holder = await self._takeover.async_take_over(
            record, last_heard=watch.heard_at, third_party=third_party
        )
        self._hold_new(holder)

    @callback
    def _hold_new(self, holder: GroupHolder | None) -> bool:
        """Hold a group that was won, unless it is held by now."""
        if holder is None or self._is_held(holder.id):
            return False
        self._hold(holder)
        return True

    @callback
    def _watch(self, group: GroupId) -> GroupWatch:
        """Return what is remembered of a group."""
        watch = self._watches_by_group.get(group)
        if watch is None:
            watch = GroupWatch(heard_at=-math.inf, acknowledged_at=monotonic_now())
            self._watches_by_group[group] = watch
        return watch
