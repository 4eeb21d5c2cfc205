"""Ownership on one instance: holds, watches and takes over groups."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
import contextlib
import math
from typing import Any, Final

from aiohttp import ClientSession

from swiftpin.config.catalog import Catalog
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import NoOwnerError, PeerError
from swiftpin.helpers.hashing import slice_of
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.instance_info import InstanceInfo
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.stamp import Stamp
from swiftpin.ownership.group_holder import GroupHolder
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_listener import GroupListener
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.group_watch import GroupWatch
from swiftpin.ownership.heartbeats import Heartbeats
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.instances import Instances
from swiftpin.ownership.ownership_events import OwnershipEvents
from swiftpin.ownership.peers import Peers, is_gone
from swiftpin.ownership.record_codec import encode_record
from swiftpin.ownership.record_view import RecordView
from swiftpin.ownership.route import Route
from swiftpin.ownership.rules import acknowledge, successor_may_take_over
from swiftpin.ownership.successors import (
    choose_successor,
    rank_instances,
    roles_by_name,
    spread_rank,
)
from swiftpin.ownership.takeover import Takeover
from swiftpin.ownership.timing import Timing
from swiftpin.store.client import StoreClient
from swiftpin.targets.client import TargetClient

BOOTSTRAP_STEP: Final = 0.5
"""Seconds that each instance waits for those before it to create a group."""

GREETING_PATIENCE: Final = 0.3
"""Seconds for which a new group waits until a successor for it is known."""

TAKEOVER_RETRY: Final = 0.5
RETRY_AFTER_NO_RECORD: Final = 0.2


class OwnershipCoordinator:
    """Answers who owns a key and does this instance's share of the leases."""

    def __init__(
        self,
        *,
        instance_id: str,
        zone: str,
        store: StoreClient,
        session: ClientSession,
        cache: ObjectCache,
        publish: Callable[[CachedObject], None],
        catalog: Catalog,
        directory: Instances,
        peers: Peers,
        events: OwnershipEvents,
        listener: GroupListener,
        timing: Timing,
    ) -> None:
        self.holders_by_group: dict[GroupId, GroupHolder] = {}
        self.records: Final = RecordView(cache)
        self._instance_id = instance_id
        self._zone = zone
        self._store = store
        self._session = session
        self._publish_object = publish
        self._catalog = catalog
        self._directory = directory
        self._peers = peers
        self._events = events
        self._timing = timing
        self._groups_by_name: dict[tuple[str, int], GroupId] = {}
        self._watches_by_group: dict[GroupId, GroupWatch] = {}
        self._env = self._environment(listener)
        self._takeover = Takeover(self._env, zone=zone)
        self._heartbeats = Heartbeats(
            peers, self.holders_by_group, timing.heartbeat_interval
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._unloading = False

    async def async_setup(self) -> None:
        """Begin to watch the groups of every service."""
        self.records.setup()
        self._spawn(self._async_watch(), "ownership-watch")
        self._heartbeats.setup()

    async def async_unload(self) -> None:
        """Hand over every group, then stop."""
        self._unloading = True
        holders = list(self.holders_by_group.values())
        await asyncio.gather(*(self._async_hand_over(holder) for holder in holders))
        await self.async_abort()

    async def async_abort(self) -> None:
        """Stop at once; other instances find out by the missing heartbeats."""
        self._unloading = True
        await self._heartbeats.async_unload()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        holders = list(self.holders_by_group.values())
        self.holders_by_group.clear()
        await asyncio.gather(*(holder.async_stop() for holder in holders))
        self.records.unload()

    # Answers to the request path

    @callback
    def resolve(self, service: Service, key: str, now: float) -> Route:
        """Return where requests for the key go; raise `NoOwnerError` if nowhere."""
        home = slice_of(service.name, key, service.slices)
        group = self._group(service.name, home % service.groups)
        holder = self.holders_by_group.get(group)
        if holder is not None:
            slice_id = holder.record.slice_of_key(key, home)
            return Route(
                group=group,
                slice_id=slice_id,
                target=holder.target_of(slice_id, now),
                term=holder.record.term,
                holder=self._instance_id,
                forward_address=None,
                reason="held here",
            )
        return self._remote_route(service, group, key, home)

    @callback
    def _group(self, service: str, number: int) -> GroupId:
        """Return a group's name; kept, since every request needs one."""
        key = (service, number)
        group = self._groups_by_name.get(key)
        if group is None:
            group = GroupId(service=service, group=number)
            self._groups_by_name[key] = group
        return group

    @callback
    def send_until(self, group: GroupId, now: float) -> float | None:
        """Return until when this instance may send for the group, None if not now."""
        holder = self.holders_by_group.get(group)
        return None if holder is None else holder.send_until(now)

    @callback
    def record_work(self, route: Route, key: str, busy: float, now: float) -> None:
        """Count a request that kept a slot of its target busy for `busy` seconds."""
        holder = self.holders_by_group.get(route.group)
        if holder is not None:
            holder.record_work(route.slice_id, key, busy, now)

    @callback
    def held_groups(self) -> list[GroupHeartbeat]:
        """Return the groups whose lease this instance holds."""
        return [holder.heartbeat() for holder in self.holders_by_group.values()]

    @callback
    def _remote_route(
        self, service: Service, group: GroupId, key: str, home: int
    ) -> Route:
        """Return the way through the group's holder."""
        record = self.records.get(group)
        if record is None:
            raise NoOwnerError(
                "the service's groups are being set up",
                retry_after=RETRY_AFTER_NO_RECORD,
            )
        info = self._directory.info_of(record.holder)
        slice_id = record.slice_of_key(key, home)
        owner = record.slices_by_id[slice_id].target
        target = service.targets_by_id.get(owner)
        if info is None or target is None or self._is_me(record.holder):
            raise NoOwnerError(
                "the key's group is changing its holder",
                retry_after=RETRY_AFTER_NO_RECORD,
            )
        return Route(
            group=group,
            slice_id=slice_id,
            target=target,
            term=record.term,
            holder=record.holder,
            forward_address=info.forward,
            reason="held by another instance",
        )

    # Messages of other instances (PeerHandler)

    @callback
    def handle_heartbeat(
        self, sender: str, beats: list[GroupHeartbeat], now: float
    ) -> frozenset[GroupId]:
        """Acknowledge the groups that this instance is to take over from `sender`."""
        accepted: set[GroupId] = set()
        for beat in beats:
            known = self.records.get(beat.group)
            if beat.group in self.holders_by_group:
                continue
            if known is None or not self._takeover.acknowledges(known):
                continue
            if not acknowledge(known, self._instance_id, sender, beat.term):
                continue
            watch = self._watch(beat.group)
            watch.heard_at = watch.acknowledged_at = now
            accepted.add(beat.group)
        return frozenset(accepted)

    @callback
    def handle_note_move(self, sender: str, record: bytes, now: float) -> bool:
        """Take a record as news; moves need no note under the present rules."""
        return False

    async def async_handle_hand_over(
        self, sender: str, group: GroupId, term: int, now: float
    ) -> bool:
        """Begin to hold a group that a stopping instance wrote over to this one."""
        return await self._async_hold_own(group)

    # Watching

    async def _async_watch(self) -> None:
        """Look at the groups that nobody or another instance holds."""
        while True:
            now = monotonic_now()
            for service in list(self._catalog.services_by_name.values()):
                if service.keyed:
                    await self._async_watch_service(service, now)
            await self._async_drop_retired()
            await asyncio.sleep(self._timing.watch_interval)

    async def _async_watch_service(self, service: Service, now: float) -> None:
        """Look at each group of one service."""
        for number in range(service.groups):
            group = GroupId(service=service.name, group=number)
            if group in self.holders_by_group or self._unloading:
                continue
            record = self.records.get(group)
            if record is None:
                await self._async_bootstrap(service, group, now)
            elif record.holder == self._instance_id:
                await self._async_hold_own(group)
            elif record.successor == self._instance_id:
                self._watch_holder(group, record, now)
            else:
                self._watch_as_third(group, record, now)

    async def _async_bootstrap(
        self, service: Service, group: GroupId, now: float
    ) -> None:
        """Create the record of a new group, unless an instance before us does."""
        watch = self._watch(group)
        if watch.absent_since is None:
            watch.absent_since = now
        names = {name_of(self._instance_id), *self._live_by_name()}
        rank = spread_rank(group, name_of(self._instance_id), names)
        waited = now - watch.absent_since
        if waited < rank * BOOTSTRAP_STEP:
            return
        if waited < GREETING_PATIENCE and self._successor_for(group) is None:
            return
        if now - watch.tried_at < TAKEOVER_RETRY:
            return
        watch.tried_at = now
        self._hold(await self._takeover.async_create(service, group))

    async def _async_hold_own(self, group: GroupId) -> bool:
        """Hold a group whose record names this instance."""
        if group in self.holders_by_group or self._unloading:
            return False
        holder = await self._takeover.async_resume(group)
        if holder is None or group in self.holders_by_group:
            return False
        self._hold(holder)
        return True

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
        if not self._takeover.is_fenced(record):
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
        self._spawn(
            self._async_probe_holder(group, record, watch), "ownership-suspicion"
        )

    async def _async_probe_holder(
        self, group: GroupId, record: GroupRecord, watch: GroupWatch
    ) -> None:
        """Take over at once when the holder's process is gone."""
        try:
            await self._peers.async_heartbeat(record.holder, [])
        except PeerError as err:
            if not is_gone(err) or self.records.get(group) is not record:
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
        self._spawn(self._async_probe(group, record, watch), "ownership-probe")

    async def _async_probe(
        self, group: GroupId, record: GroupRecord, watch: GroupWatch
    ) -> None:
        """Take over when neither holder nor successor answers for long."""
        if await self._async_answers(record.holder) or (
            record.successor is not None and await self._async_answers(record.successor)
        ):
            watch.failing_since = None
            return
        now = monotonic_now()
        if watch.failing_since is None:
            watch.failing_since = now
        if now - watch.failing_since >= self._timing.third_party_patience:
            self._try_takeover(group, record, watch, third_party=True, now=now)

    async def _async_answers(self, instance_id: str) -> bool:
        """Return whether that very incarnation answers."""
        try:
            await self._peers.async_heartbeat(instance_id, [])
        except PeerError:
            return False
        return True

    @callback
    def _is_my_turn(self, group: GroupId, record: GroupRecord) -> bool:
        """Return whether this instance is the first of the third ones."""
        involved = {name_of(record.holder), name_of(record.successor or "")}
        names = {name_of(self._instance_id), *self._live_by_name()} - involved
        order = rank_instances(group, names)
        return bool(order) and order[0] == name_of(self._instance_id)

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
        self._spawn(
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
        if holder is None or group in self.holders_by_group or self._unloading:
            return
        self._hold(holder)

    # Holding

    @callback
    def _hold(self, holder: GroupHolder | None) -> None:
        """Begin to hold a group."""
        if holder is None:
            return
        self.holders_by_group[holder.id] = holder
        self._publish(holder.record)
        holder.start()

    @callback
    def _release(self, group: GroupId) -> None:
        """Stop holding a group that the holder gave up."""
        holder = self.holders_by_group.pop(group, None)
        if holder is not None:
            self._spawn(holder.async_stop(), "ownership-release")

    async def _async_hand_over(self, holder: GroupHolder) -> None:
        """Give one group to its successor before this instance stops."""
        successor = holder.record.successor
        if successor is None or not await self._async_answers(successor):
            successor = self._successor_for(holder.id)
        if successor is not None and await holder.async_hand_over(successor):
            with contextlib.suppress(PeerError):
                await self._peers.async_hand_over(
                    successor, holder.id, holder.record.term
                )
        self.holders_by_group.pop(holder.id, None)
        await holder.async_stop()

    async def _async_drop_retired(self) -> None:
        """Stop holding groups of services that are gone."""
        for group in list(self.holders_by_group):
            service = self._catalog.service(group.service)
            if service is None or group.group >= service.groups:
                self._release(group)

    # What holders ask

    def _environment(self, listener: GroupListener) -> HolderEnvironment:
        """Return what holders need of this instance."""
        return HolderEnvironment(
            instance_id=self._instance_id,
            store=self._store,
            timing=self._timing,
            events=self._events,
            listener=listener,
            client_for=self._client_for,
            service_of=self._catalog.service,
            profile_of=self._catalog.profile_of,
            declared_targets_of=self._declared_targets_of,
            leaving_targets_of=self._leaving_targets_of,
            publish=self._publish,
            released=self._release,
            successor_for=self._successor_for,
        )

    @callback
    def _client_for(self, spec: TargetSpec) -> TargetClient:
        """Return a client of a target's control interface."""
        return TargetClient(self._session, spec, timeout=self._timing.control_timeout)

    @callback
    def _declared_targets_of(self, group: GroupId) -> frozenset[str] | None:
        """Return the targets that the declaration gives a group."""
        service = self._catalog.service(group.service)
        if service is None:
            return None
        return self._takeover.targets_of(service, group)

    @callback
    def _leaving_targets_of(self, service: str) -> frozenset[str]:
        """Return the service's targets with a planned stop."""
        return frozenset(
            stop.target
            for stop in self._catalog.planned_stops_by_name.values()
            if stop.service == service and stop.target is not None
        )

    @callback
    def _publish(self, record: GroupRecord) -> None:
        """Spread a record to this and other instances."""
        self._publish_object(
            CachedObject(
                name=record.id.store_name,
                stamp=Stamp(record.term, record.revision),
                body=encode_record(record),
            )
        )

    @callback
    def _successor_for(self, group: GroupId) -> str | None:
        """Return the id of an instance that may become the group's successor."""
        me = name_of(self._instance_id)
        candidates = {
            name: info for name, info in self._live_by_name().items() if name != me
        }
        record = self.records.get(group)
        silent = record.successor if record is not None else None
        if silent is not None and len(candidates) > 1:
            candidates.pop(name_of(silent), None)
        for name in list(candidates):
            if name not in self._directory.incarnations_by_name:
                del candidates[name]
                self._spawn(self._async_greet(name), "ownership-greet")
        chosen = choose_successor(
            group,
            candidates,
            holder_zone=self._zone,
            roles=roles_by_name(self.records.values()),
        )
        if chosen is None:
            return None
        return f"{chosen}/{self._directory.incarnations_by_name[chosen]}"

    async def _async_greet(self, name: str) -> None:
        """Learn under which incarnation an instance runs."""
        await self._async_answers(name)

    @callback
    def _live_by_name(self) -> dict[str, InstanceInfo]:
        """Return the listed instances that are not leaving."""
        return {
            name: info
            for name, info in self._directory.instances_by_name.items()
            if not info.leaving
        }

    @callback
    def _is_me(self, instance_id: str) -> bool:
        """Return whether an id names this or an earlier run of this instance."""
        return name_of(instance_id) == name_of(self._instance_id)

    @callback
    def _watch(self, group: GroupId) -> GroupWatch:
        """Return what is remembered of a group."""
        return self._watches_by_group.setdefault(
            group, GroupWatch(heard_at=-math.inf, acknowledged_at=monotonic_now())
        )

    @callback
    def _spawn(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Run a task that ends with this coordinator."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
