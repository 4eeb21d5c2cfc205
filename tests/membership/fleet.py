"""Instances that talk over loopback, with faults that tests choose."""

from __future__ import annotations

import asyncio

from aiohttp import ClientSession

from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.core import monotonic_now
from swiftpin.exceptions import PeerError
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.coordinator import MembershipCoordinator
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.news_settings import NewsSettings
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.stamp import Stamp
from swiftpin.membership.wire import Message
from swiftpin.standins.instance_state import InstanceState
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.listed_instance import ListedInstance
from tests.membership.fake_handler import FakeHandler
from tests.membership.fake_store import FakeStore

PATIENCE = 10.0
BY_HAND = NewsSettings(
    push_interval=0.0,
    compare_interval=3600.0,
    read_delay=0.0,
    watch_pause=0.0,
    backoff_initial=0.001,
    backoff_limit=0.01,
)
"""Nothing is compared unless the test says so."""


def make_object(name: str, major: int, minor: int = 0, size: int = 0) -> CachedObject:
    """Return a version whose body follows from its stamp."""
    body = f"{major}.{minor}".encode().ljust(size)
    return CachedObject(name=name, stamp=Stamp(major, minor), body=body)


async def async_known(cache: ObjectCache, name: str, stamp: Stamp) -> None:
    """Wait until a cache knows a version of the object, or a later one."""
    reached = asyncio.Event()

    def check(obj: CachedObject) -> None:
        if obj.name == name and obj.stamp >= stamp:
            reached.set()

    known = cache.get(name)
    if known is not None and known.stamp >= stamp:
        return
    unsubscribe = cache.subscribe(name, check)
    try:
        await asyncio.wait_for(reached.wait(), PATIENCE)
    finally:
        unsubscribe()


class Fleet:
    """Instances by name, one store and one list."""

    def __init__(self, session: ClientSession, platform: InstancesStandin) -> None:
        self._session = session
        self._platform = platform
        self._ports = PortAllocator()
        self.store = FakeStore()
        self.members: dict[str, MembershipCoordinator] = {}
        self.handlers: dict[str, FakeHandler] = {}
        self.addresses: dict[str, str] = {}
        self.cut_off: set[str] = set()
        self.loses_pushes = False

    async def async_add(
        self,
        *names: str,
        settings: NewsSettings = BY_HAND,
        incarnation: str = "a1",
    ) -> None:
        """List and start instances; the zone of `x-1` is `x`."""
        for name in names:
            self.list_instance(name)
        for name in names:
            await self._async_start(name, settings, incarnation)
        await self.async_refresh()

    def list_instance(self, name: str) -> None:
        """List an instance that need not run."""
        address = self.addresses.setdefault(name, self._ports.allocate())
        instance = ListedInstance(
            name=name,
            zone=name.partition("-")[0],
            peer=address,
            forward=address,
            admin=address,
        )
        self._platform.change(instance, monotonic_now())

    async def async_refresh(self) -> None:
        """Let every instance read the list."""
        for member in self.members.values():
            await member.directory.async_refresh()

    async def async_stop(self, name: str, *, listed: bool = False) -> None:
        """Stop an instance, which stays listed if the list is to lag."""
        await self.members.pop(name).async_unload()
        if not listed:
            self._platform.change_state(name, InstanceState.GONE, monotonic_now())
            await self.async_refresh()

    async def async_unload(self) -> None:
        """Stop every instance."""
        while self.members:
            _, member = self.members.popitem()
            await member.async_unload()

    async def _async_start(
        self, name: str, settings: NewsSettings, incarnation: str
    ) -> None:
        """Start one instance with its faults."""
        handler = self.handlers[name] = FakeHandler()
        member = MembershipCoordinator(
            instance_id=f"{name}/{incarnation}",
            zone=name.partition("-")[0],
            store=self.store,
            session=self._session,
            instances_url=self._platform.url,
            peer_listen=self.addresses[name],
            handler=handler,
            list_interval=3600.0,
            news_settings=settings,
        )
        self._inject_faults(name, member)
        await member.async_setup()
        self.members[name] = member

    def _inject_faults(self, name: str, member: MembershipCoordinator) -> None:
        """Let calls fail that cross the partition, and pushes if they are to."""
        original = member.clients._async_call

        async def async_call(
            instance_id: str, method: str, request: Message
        ) -> Message:
            crosses = (name in self.cut_off) != (name_of(instance_id) in self.cut_off)
            if crosses or (self.loses_pushes and method == "PushNews"):
                raise PeerError("lost")
            return await original(instance_id, method, request)

        member.clients._async_call = async_call  # type: ignore[method-assign]
