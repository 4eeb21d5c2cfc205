"""Ownership on one instance: holds, watches and takes over groups."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
from typing import Final

from aiohttp import ClientSession

from swiftpin.config.catalog import Catalog
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import callback
from swiftpin.exceptions import NoOwnerError, PeerError
from swiftpin.helpers.hashing import slice_of
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.stamp import Stamp
from swiftpin.ownership.group_holder import GroupHolder
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_listener import GroupListener
from swiftpin.ownership.group_names import GroupNames
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.group_watcher import GroupWatcher
from swiftpin.ownership.heartbeats import Heartbeats
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.instances import Instances
from swiftpin.ownership.live_instances import LiveInstances
from swiftpin.ownership.ownership_events import OwnershipEvents
from swiftpin.ownership.peers import Peers
from swiftpin.ownership.record_codec import encode_record
from swiftpin.ownership.record_view import RecordView
from swiftpin.ownership.route import Route
from swiftpin.ownership.successor_finder import SuccessorFinder
from swiftpin.ownership.takeover import Takeover
from swiftpin.ownership.task_set import TaskSet
from swiftpin.ownership.timing import Timing
from swiftpin.store.client import StoreClient
from swiftpin.targets.client import TargetClient

RETIRED_INTERVAL: Final = 1.0
"""Seconds between looks for held groups of services that are gone."""

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
        self._unloading = False
        self._tasks = TaskSet()
        self._names = GroupNames()
        live = LiveInstances(directory, instance_id)
        successors = SuccessorFinder(
            instance_id=instance_id,
            zone=zone,
            instances=directory,
            live=live,
            records=self.records,
            greet=self._greet,
        )
        self._successors = successors
        self._takeover = Takeover(self._environment(listener))
        self._watcher = GroupWatcher(
            instance_id=instance_id,
            catalog=catalog,
            records=self.records,
            names=self._names,
            live=live,
            successors=successors,
            peers=peers,
            takeover=self._takeover,
            timing=timing,
            tasks=self._tasks,
            is_held=self._is_held,
            hold=self._hold,
        )
        self._heartbeats = Heartbeats(
            peers, self.holders_by_group, timing.heartbeat_interval
        )

    async def async_setup(self) -> None:
        """Begin to watch the groups of every service."""
        self.records.setup()
        self._watcher.setup()
        self._tasks.spawn(self._async_drop_retired(), "ownership-retired")
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
        await self._tasks.async_cancel()
        holders = list(self.holders_by_group.values())
        self.holders_by_group.clear()
        await asyncio.gather(*(holder.async_stop() for holder in holders))
        self.records.unload()

    # Answers to the request path

    @callback
    def resolve(self, service: Service, key: str, now: float) -> Route:
        """Return where requests for the key go; raise `NoOwnerError` if nowhere."""
        home = slice_of(service.name, key, service.slices)
        group = self._names.group(service.name, home % service.groups)
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
        return self._watcher.acknowledged(sender, beats, now)

    async def async_handle_hand_over(
        self, sender: str, group: GroupId, term: int, now: float
    ) -> bool:
        """Begin to hold a group that a stopping instance wrote over to this one."""
        # The sender stops waiting after half a second, which would cancel this call
        # in the middle of the work.
        self._tasks.spawn(self._async_accept(group), "ownership-hand-over")
        return not self._unloading

    async def _async_accept(self, group: GroupId) -> None:
        """Hold a group that was written over to this instance."""
        await self._watcher.async_hold_own(group)

    # Holding

    @callback
    def _is_held(self, group: GroupId) -> bool:
        """Return whether a group is held here, or none may be any more."""
        return self._unloading or group in self.holders_by_group

    @callback
    def _hold(self, holder: GroupHolder) -> None:
        """Begin to hold a group."""
        self.holders_by_group[holder.id] = holder
        self._publish(holder.record)
        holder.start()

    @callback
    def _release(self, group: GroupId) -> None:
        """Stop holding a group that the holder gave up."""
        holder = self.holders_by_group.pop(group, None)
        if holder is not None:
            self._tasks.spawn(holder.async_stop(), "ownership-release")

    async def _async_hand_over(self, holder: GroupHolder) -> None:
        """Give one group to its successor before this instance stops."""
        successor = holder.record.successor
        if successor is None or not await self._watcher.async_answers(successor):
            successor = self._successors.find(holder.id)
        if successor is not None and await holder.async_hand_over(successor):
            with contextlib.suppress(PeerError):
                await self._peers.async_hand_over(
                    successor, holder.id, holder.record.term
                )
        self.holders_by_group.pop(holder.id, None)
        await holder.async_stop()

    async def _async_drop_retired(self) -> None:
        """Stop holding groups of services that are gone."""
        while True:
            for group in list(self.holders_by_group):
                if self._catalog.service(group.service) is None:
                    self._release(group)
            await asyncio.sleep(RETIRED_INTERVAL)

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
            successor_for=self._successors.find,
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
    def _greet(self, name: str) -> None:
        """Learn under which incarnation an instance runs."""
        self._tasks.spawn(self._async_greet(name), "ownership-greet")

    async def _async_greet(self, name: str) -> None:
        """Send an empty heartbeat; the answer names the incarnation."""
        await self._watcher.async_answers(name)

    @callback
    def _is_me(self, instance_id: str) -> bool:
        """Return whether an id names this or an earlier run of this instance."""
        return name_of(instance_id) == name_of(self._instance_id)
