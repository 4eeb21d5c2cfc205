"""One simulated instance of a fleet whose targets name rate limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final, cast

from swiftpin.discovery.evacuations import Evacuations
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.permits.permit_broker import EXPIRE_INTERVAL, PermitBroker
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.app import HOUSEKEEPING_INTERVAL
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.extension_votes import ExtensionVotes
from swiftpin.router.fleet_coordinator import UPDATE_INTERVAL
from swiftpin.router.fleet_messages import decode_issuers
from swiftpin.router.heartbeats import Heartbeats
from swiftpin.router.issuer_list import IssuerList
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.known_leader import KnownLeader
from tests.router.limit_network import SimulatedStream

if TYPE_CHECKING:
    from tests.router.limit_fleet import LimitFleet

CPU_CAPACITY: Final = 1.0
SETTLE_TIME: Final = 3.0
"""Seconds after which a new limit binds, and a started or thawed instance counts."""


class Lease:
    """The lease as one instance sees it."""

    members: tuple[str, ...] = ()
    resigned_term = 0

    def __init__(self) -> None:
        self.term = 0
        self.valid_until = 0.0

    def is_held(self, now: float) -> bool:
        """Return whether the instance holds the lease."""
        return now < self.valid_until

    def own_resigned_term(self, now: float) -> int:
        """Return the last term that the instance resigned."""
        return 0 if self.is_held(now) else self.term


class Instance:
    """The parts of a router that issue and use permits, on simulated links."""

    def __init__(self, fleet: LimitFleet, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.lease = Lease()
        self.lifecycle = Lifecycle(loaded=True)
        self.incoming: set[PeerLink] = set()
        self.outgoing_by_peer: dict[str, PeerLink] = {}
        self.excused_until = fleet.now() + SETTLE_TIME
        """Time until which the requests of the instance don't count, after a start or
        a freeze."""

        self.told_at_by_target: dict[str, float] = {}
        """Time at which the instance first passed on an answer that names a limit."""

        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()
        self._connecting: set[str] = set()
        links = cast(FleetLinks, self)
        lease = cast(LeaseElection, self.lease)
        self.permits = PermitBroker(incarnation, "z1", None, fleet.now)
        self.known_leader = KnownLeader(links)
        directory = cast(
            TargetDirectory,
            SimpleNamespace(
                version=0,
                evacuations=Evacuations(None),
                targets_by_id=fleet.targets_by_name,
            ),
        )
        self.issuer_list = IssuerList(
            incarnation=incarnation,
            own_peer=name,
            cpu_capacity=CPU_CAPACITY,
            links=links,
            lease=lease,
            permits=self.permits,
            directory=directory,
            lifecycle=self.lifecycle,
        )
        self._heartbeats = Heartbeats(
            incarnation=incarnation,
            leader=self.known_leader,
            lease=lease,
            votes=cast(
                ExtensionVotes, SimpleNamespace(cast_vote=lambda link, now: False)
            ),
            maps=KeyMaps(),
            target_links=TargetLinks(),
            configuration=ConfigurationHolder(),
            directory=directory,
            lifecycle=self.lifecycle,
            health=StoreHealth(),
            permits=self.permits,
        )

    @property
    def is_frozen(self) -> bool:
        """Return whether the process is frozen."""
        return self.name in self._fleet.network.frozen

    def live_links(self) -> list[PeerLink]:
        """Return the identified links that received a frame recently."""
        now = self._fleet.now()
        links = [*self.outgoing_by_peer.values(), *self.incoming]
        return [link for link in links if link.incarnation and link.is_alive(now)]

    def start(self) -> None:
        """Start the periodic work."""
        self.run(self._async_repeat(EXPIRE_INTERVAL, self._expire))
        self.run(self._async_repeat(UPDATE_INTERVAL, self.update))
        self.run(self._async_repeat(HOUSEKEEPING_INTERVAL, self._update_targets))

    def kill(self) -> None:
        """End the process: its tasks stop and its connections close."""
        for task in self._tasks:
            task.cancel()

    def run(self, coroutine: Any) -> None:  # noqa: ANN401
        """Run a coroutine until it ends or the process does."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return the heartbeat to send on a link."""
        return self._heartbeats.make(link, self._fleet.now())

    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Dispatch one message."""
        match item.WhichOneof("body"):
            case "ask":
                self.permits.handle_ask(link, item.ask)
            case "answer":
                self.permits.handle_answer(link, item.answer)
            case "end":
                self.permits.handle_end(link, item.end)
            case "rate_reports":
                self.permits.handle_rate_reports(item.rate_reports)
            case "heartbeat":
                self._heartbeats.handle(link, item.heartbeat)
            case "issuers":
                self.issuer_list.adopt(decode_issuers(item.issuers))
                self.permits.authority.record_list(
                    self.permits.issuers, self._fleet.now()
                )
            case "hello":
                self._handle_hello(link, item.hello)

    def _handle_hello(self, link: PeerLink, hello: Item) -> None:
        """Record the identity of the peer and send it the issuer list."""
        link.incarnation = hello.incarnation
        link.peer = hello.peer
        self.permits.add_link(link)
        if not link.is_outgoing and self.permits.issuers.number:
            self.issuer_list.send(link)

    def update(self) -> None:
        """Update the issuer list as lease holder, and connect to other instances."""
        now = self._fleet.now()
        if self.lease.is_held(now):
            self.issuer_list.update(now)
            issuers, authority = self.permits.issuers, self.permits.authority
            authority.record_list(issuers, now)
            authority.record_confirmation(issuers.term, issuers.number, now)
        wanted = {
            self.known_leader.record.peer,
            *self.permits.issuers.peers_by_incarnation.values(),
        } - {"", self.name}
        for peer in sorted(wanted - self.outgoing_by_peer.keys() - self._connecting):
            self.run(self._async_connect(peer))

    def _update_targets(self) -> None:
        self._fleet.set_targets(self)

    def _expire(self) -> None:
        self.permits.expire(self._fleet.now())

    async def _async_repeat(self, interval: float, action: Callable[[], None]) -> None:
        """Run an action periodically while the process is not frozen."""
        while True:
            await asyncio.sleep(interval * self._fleet.random.uniform(0.9, 1.1))
            if not self.is_frozen:
                action()

    async def _async_connect(self, peer: str) -> None:
        """Open a link to another instance and serve it until it is lost."""
        self._connecting.add(peer)
        try:
            await asyncio.sleep(2 * self._fleet.network.latency())
            other = self._fleet.instances_by_name.get(peer)
            if other is None or not self._fleet.network.is_open(self.name, peer):
                return
            own_end = SimulatedStream(self._fleet.network, self.name)
            other_end = SimulatedStream(self._fleet.network, peer)
            own_end.join(other_end)
            other.run(other._async_serve(other_end, is_outgoing=False))
            await self._async_serve(own_end, is_outgoing=True, peer=peer)
        finally:
            self._connecting.discard(peer)

    async def _async_serve(
        self, stream: SimulatedStream, *, is_outgoing: bool, peer: str = ""
    ) -> None:
        """Serve a link until it is lost."""
        link = PeerLink(self, self._fleet.now(), is_outgoing=is_outgoing)
        link.peer = peer
        if is_outgoing:
            self.outgoing_by_peer[peer] = link
        else:
            self.incoming.add(link)
        link.send(
            pb.Item(
                hello=pb.Hello(
                    incarnation=self.incarnation, peer=self.name, strength=CPU_CAPACITY
                )
            )
        )
        try:
            await link.async_run(stream)
        finally:
            stream.end()
            self.incoming.discard(link)
            if self.outgoing_by_peer.get(peer) is link:
                del self.outgoing_by_peer[peer]
            self.permits.remove_link(link)
