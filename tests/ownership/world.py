"""A store, targets and instances for tests of ownership."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from aiohttp import ClientSession
import orjson

from swiftpin.config.catalog import Catalog
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.service import Service
from swiftpin.core import monotonic_now
from swiftpin.exceptions import NoOwnerError
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.ownership.coordinator import OwnershipCoordinator
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.ownership_decision import OwnershipDecision
from swiftpin.ownership.record_codec import decode_record, encode_record
from swiftpin.ownership.timing import Timing
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.standins.target_options import TargetOptions
from swiftpin.standins.target_standin import TargetStandin
from swiftpin.standins.write_condition import parse_condition
from swiftpin.store.client import StoreClient
from swiftpin.trace.owned_event import OwnedEvent
from swiftpin.trace.release_reason import ReleaseReason
from swiftpin.trace.released_event import ReleasedEvent
from swiftpin.trace.trace_event import TraceEvent
from tests.ownership.fake_instances import FakeDirectory, FakeNetwork, FakePeers
from tests.ownership.owners import overlaps

SERVICE = "desk"
SLICES = 12
GROUP = GroupId(service=SERVICE, group=0)
PATIENCE = 8.0
"""Seconds after which a condition that does not come true fails the test."""

TIMING = Timing(
    heartbeat_interval=0.05,
    holder_limit=0.4,
    grant_interval=0.08,
    grant_ttl=0.4,
    outage_limit=60.0,
    control_timeout=0.15,
    third_party_interval=0.1,
    third_party_patience=0.3,
    watch_interval=0.02,
    revoke_wait=0.2,
    silence_limit=0.4,
    probe_after=0.15,
)


@dataclass(kw_only=True)
class RecordingEvents:
    """Keeps what ownership reports."""

    decisions: list[OwnershipDecision] = field(default_factory=list)
    records: list[GroupRecord] = field(default_factory=list)

    def decided(self, decision: OwnershipDecision) -> None:
        """Keep a decision."""
        self.decisions.append(decision)

    def assigned(self, record: GroupRecord, now: float) -> None:
        """Keep an acknowledged record."""
        self.records.append(record)


class IdleListener:
    """A listener with nothing to do."""

    def group_acquired(self, group: GroupId, term: int) -> None:
        """Ignore it."""

    async def async_group_releasing(self, group: GroupId) -> None:
        """Have nothing to finish."""

    def target_lost(self, group: GroupId, target: str) -> None:
        """Ignore it."""

    def group_lost(self, group: GroupId) -> None:
        """Ignore it."""


class World:
    """Everything that ownership meets, in one process on loopback."""

    def __init__(self, targets: int, *, unchecked: bool) -> None:
        self.events = RecordingEvents()
        self.trace: list[TraceEvent] = []
        self.network = FakeNetwork()
        self.store = StoreStandin()
        self.unchecked = unchecked
        self.killed_at_by_target: dict[str, float] = {}
        self.targets_by_id = {
            f"t{number}": TargetStandin(
                TargetOptions(
                    name=f"t{number}", zone=f"z{number % 3}", unchecked=unchecked
                ),
                on_event=self.trace.append,
            )
            for number in range(targets)
        }
        self.caches_by_name: dict[str, ObjectCache] = {}
        self._session: ClientSession | None = None
        self._catalog = Catalog()
        self._store_url = ""
        self._stores_by_name: dict[str, StoreClient] = {}

    async def async_start(self, instances: int) -> None:
        """Start the store and the targets, declare the service, add instances."""
        self._session = ClientSession()
        self._store_url = await self.store.async_start()
        urls = {
            name: await target.async_start()
            for name, target in self.targets_by_id.items()
        }
        self.declare(urls, generation=1)
        for number in range(instances):
            self.network.add(f"i{number}", f"z{number % 3}")
        for number in range(instances):
            await self.async_add_instance(f"i{number}")

    async def async_stop(self) -> None:
        """End everything."""
        for name in list(self.network.coordinators_by_name):
            await self.async_kill_instance(name)
        for target in self.targets_by_id.values():
            await target.async_stop()
        await self.store.async_stop()
        if self._session is not None:
            await self._session.close()

    def declare(self, urls_by_id: dict[str, str], *, generation: int) -> None:
        """Declare the service with these targets."""
        targets = [
            {
                "id": name,
                "address": url.removeprefix("http://"),
                "zone": f"z{name[1:]}",
            }
            for name, url in urls_by_id.items()
        ]
        document = {
            "apiVersion": "swiftpin/v1",
            "kind": "Service",
            "metadata": {"name": SERVICE},
            "spec": {
                "profile": "p",
                "keyed": True,
                "slices": SLICES,
                "groups": 1,
                "checks_grants": not self.unchecked,
                "targets": targets,
            },
        }
        self._catalog.adopt(
            ConfigObject(
                id=ConfigName(kind=ConfigKind.SERVICE, name=SERVICE),
                generation=generation,
                writer="w",
                author="test",
                written_at=0.0,
                retired=False,
                document=orjson.loads(orjson.dumps(document)),
            )
        )

    def remove_target(self, name: str) -> None:
        """Declare the service without a target."""
        urls = {
            target: f"http://{standin.address}"
            for target, standin in self.targets_by_id.items()
            if target != name
        }
        self.declare(urls, generation=2)

    @property
    def service(self) -> Service:
        """Return the service in force."""
        service = self._catalog.service(SERVICE)
        assert service is not None
        return service

    async def async_add_instance(self, name: str) -> OwnershipCoordinator:
        """Start one instance."""
        assert self._session is not None
        instance_id = f"{name}/{self.network.incarnations_by_name[name]}"
        cache = ObjectCache()
        self.caches_by_name[name] = cache
        store = StoreClient(
            self._session, self._store_url, timeout=0.3, instance_id=instance_id
        )
        self._stores_by_name[name] = store
        coordinator = OwnershipCoordinator(
            instance_id=instance_id,
            zone=self.network.infos_by_name[name].zone,
            store=store,
            session=self._session,
            cache=cache,
            publish=self._publisher(name),
            catalog=self._catalog,
            directory=FakeDirectory(self.network),
            peers=FakePeers(self.network, instance_id),
            events=self.events,
            listener=IdleListener(),
            timing=TIMING,
        )
        self.network.coordinators_by_name[name] = coordinator
        await coordinator.async_setup()
        return coordinator

    async def async_kill_instance(self, name: str) -> None:
        """End an instance as a kill does: it hands nothing over."""
        coordinator = self.network.coordinators_by_name.pop(name)
        await coordinator.async_abort()

    def _publisher(self, sender: str) -> Callable[[CachedObject], None]:
        """Return how one instance spreads news: at once to all it can reach."""

        def publish(obj: CachedObject) -> None:
            for name, cache in self.caches_by_name.items():
                if frozenset({sender, name}) not in self.network.cut:
                    cache.adopt(obj)

        return publish

    def holder(self) -> str | None:
        """Return the instance that may send for the group, None if none may."""
        now = monotonic_now()
        able = [
            name
            for name, coordinator in self.network.coordinators_by_name.items()
            if coordinator.send_until(GROUP, now) is not None
        ]
        return able[0] if len(able) == 1 else None

    def record(self, name: str) -> GroupRecord:
        """Return the record that an instance knows."""
        record = self.network.coordinators_by_name[name].records.get(GROUP)
        assert record is not None
        return record

    def served_slices(self) -> int:
        """Return how many slices the group's holder can send for."""
        name = self.holder()
        if name is None:
            return 0
        holder = self.network.coordinators_by_name[name].holders_by_group[GROUP]
        served = 0
        for slice_id in range(SLICES):
            try:
                holder.target_of(slice_id, monotonic_now())
            except NoOwnerError:
                continue
            served += 1
        return served

    def owners(self) -> set[str]:
        """Return the targets that own slices, as the holder sees it."""
        name = self.holder()
        if name is None:
            return set()
        record = self.network.coordinators_by_name[name].holders_by_group[GROUP].record
        return {item.target for item in record.slices_by_id.values()}

    def stored_record(self) -> GroupRecord:
        """Return the record in the store."""
        stored = self.store.state.get(GROUP.store_name, float("inf"))
        assert stored is not None
        return decode_record(stored.body)

    def write_behind_the_news(self) -> None:
        """Store a later revision of the record that no instance hears of."""
        stored = self.store.state.get(GROUP.store_name, float("inf"))
        assert stored is not None
        record = decode_record(stored.body)
        later = replace(record, revision=record.revision + 1, writer="unheard")
        version = self.store.state.put(
            GROUP.store_name,
            encode_record(later),
            parse_condition({"If-Match": f'"{stored.version}"'}),
            monotonic_now(),
        )
        assert version is not None

    def stored_owners(self) -> set[str]:
        """Return the owners in the stored record."""
        return {item.target for item in self.stored_record().slices_by_id.values()}

    def stored_holder(self) -> str:
        """Return the name of the stored record's holder."""
        return name_of(self.stored_record().holder)

    def successor_acknowledged(self, holder: str) -> bool:
        """Return whether the successor heard the holder under its present term."""
        record = self.record(holder)
        if record.successor is None:
            return False
        successor = self.network.coordinators_by_name[name_of(record.successor)]
        heard = successor.handle_heartbeat(
            record.holder,
            [GroupHeartbeat(group=GROUP, term=record.term, revision=record.revision)],
            monotonic_now(),
        )
        return GROUP in heard

    @property
    def takeovers_tried(self) -> int:
        """Return how often living instances asked the store, failing or not."""
        return sum(
            self._stores_by_name[name].calls
            for name in self.network.coordinators_by_name
        )

    async def async_kill_target(self, name: str) -> None:
        """Kill a target; it reports nothing more."""
        self.targets_by_id[name].kill()
        self.killed_at_by_target[name] = monotonic_now()

    async def async_restart_target(self, name: str) -> None:
        """Stop a target and start it under a new boot id."""
        await self.targets_by_id[name].async_stop()
        await self.targets_by_id[name].async_start()

    def plan_stop(self, target: str) -> None:
        """Declare the planned stop of a target."""
        self._catalog.adopt(
            ConfigObject(
                id=ConfigName(kind=ConfigKind.PLANNED_STOP, name="stop"),
                generation=1,
                writer="w",
                author="test",
                written_at=0.0,
                retired=False,
                document={
                    "apiVersion": "swiftpin/v1",
                    "kind": "PlannedStop",
                    "metadata": {"name": "stop"},
                    "spec": {"service": SERVICE, "target": target},
                },
            )
        )

    def holds(self, targets: set[str], slices: set[int]) -> bool:
        """Return whether the targets reported to hold all the slices by now."""
        held = {
            item.slice_id
            for event in self.trace
            if isinstance(event, OwnedEvent) and event.target in targets
            for item in event.slices
        }
        return slices <= held

    def overlaps(self) -> list[str]:
        """Return the slices that two targets held at one time."""
        return overlaps(self.trace, self.killed_at_by_target)

    def lapses(self) -> int:
        """Return how many slices were lost because a grant ended."""
        return sum(
            len(item.slices)
            for item in self.trace
            if isinstance(item, ReleasedEvent) and item.why is ReleaseReason.LAPSED
        )

    async def async_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; fail when it does not in time."""
        async with asyncio.timeout(PATIENCE):
            while not condition():  # noqa: ASYNC110 - states of several parts
                await asyncio.sleep(0.01)

    async def async_served(self) -> str:
        """Wait until every slice is served and return the holder."""
        await self.async_until(lambda: self.served_slices() == SLICES)
        name = self.holder()
        assert name is not None
        return name
