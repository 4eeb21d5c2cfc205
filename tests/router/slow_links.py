"""Instances that exchange configurations over slow links, in virtual time."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, Final

from swiftpin.discovery.evacuations import Evacuations
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.fleet.document_channel import DocumentBudget
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.fleet_coordinator import UPDATE_INTERVAL
from swiftpin.router.gossip import Gossip
from tests.router.site import configuration, route

ONE_WAY_LATENCY: Final = 0.002
"""One-way latency between two instances, in seconds."""

SOCKET_BUFFER: Final = 64 * 1024
"""Bytes that a sender may have written but not yet transmitted."""

FRAME_HEAD: Final = 4

CALLERS_SHARE: Final = 0.6
"""Share of a member's bandwidth used by callers' requests and their answers."""

CALLERS_PAUSE: Final = 0.01
"""Seconds between two packets of caller traffic."""


class Port:
    """One direction of an instance's link; bytes are transmitted in order."""

    def __init__(self, bandwidth: float) -> None:
        self.bandwidth = bandwidth
        self._free_at = 0.0
        self.bytes_from_peers = 0

    def transmit(self, size: float, arrives_at: float) -> float:
        """Return when bytes that arrive at `arrives_at` have been transmitted."""
        self._free_at = max(self._free_at, arrives_at) + size / self.bandwidth
        return self._free_at


class SlowStream:
    """One end of a connection; frames take the transmission time of both ports."""

    def __init__(self, outgoing: Port, incoming: Port) -> None:
        self._outgoing = outgoing
        self._incoming = incoming
        self._arriving: deque[tuple[float, bytes]] = deque()
        self._arrived = asyncio.Event()
        self._peer: SlowStream | None = None

    def join(self, peer: SlowStream) -> None:
        """Connect two ends to each other."""
        self._peer, peer._peer = peer, self

    async def send_message(self, message: Any) -> None:  # noqa: ANN401
        """Send a frame; wait while the send buffer is full."""
        assert self._peer is not None
        body = message.SerializeToString()
        size = len(body) + FRAME_HEAD
        now = asyncio.get_running_loop().time()
        left_at = self._outgoing.transmit(size, now)
        read_at = self._peer._incoming.transmit(size, left_at + ONE_WAY_LATENCY)
        self._peer._incoming.bytes_from_peers += size
        self._peer._arriving.append((read_at, body))
        self._peer._arrived.set()
        buffered_for = SOCKET_BUFFER / self._outgoing.bandwidth
        if left_at - now > buffered_for:
            await asyncio.sleep(left_at - now - buffered_for)

    async def recv_message(self) -> Any:  # noqa: ANN401
        """Return the next frame as soon as it has arrived completely."""
        while not self._arriving:
            self._arrived.clear()
            await self._arrived.wait()
        read_at, body = self._arriving.popleft()
        await asyncio.sleep(max(read_at - asyncio.get_running_loop().time(), 0.0))
        return pb.Frame.FromString(body)


class Member:
    """An instance with its configuration, its links and its gossip."""

    def __init__(self, name: str, bandwidth: float) -> None:
        self.name = name
        self.configuration = ConfigurationHolder()
        self.outgoing, self.incoming = Port(bandwidth), Port(bandwidth)
        self.documents = DocumentBudget(bandwidth)
        self.outgoing_by_peer: dict[str, PeerLink] = {}
        self.links: list[PeerLink] = []
        self.heartbeat_delays: list[float] = []
        self.adopted_at_by_version: dict[int, float] = {}
        self.configuration.on_change = self._note_adopted
        other_parts: dict[str, Any] = {
            "links": self,
            "lease": SimpleNamespace(is_held=lambda now: False),
            "permits": SimpleNamespace(
                issuers=SimpleNamespace(members=99, peers_by_incarnation={})
            ),
            "health": StoreHealth(),
            "maps": SimpleNamespace(version=(0, 0), maps_by_service={}),
            "directory": SimpleNamespace(version=0, evacuations=Evacuations(None)),
        }
        self.gossip = Gossip(
            incarnation=name, configuration=self.configuration, **other_parts
        )

    def live_links(self) -> list[PeerLink]:
        """Return the links that have not timed out."""
        now = asyncio.get_running_loop().time()
        return [link for link in self.links if link.is_alive(now)]

    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return a heartbeat with the time of its creation."""
        return pb.Item(
            heartbeat=pb.Heartbeat(
                incarnation=self.name,
                configuration=self.configuration.version,
                sent_at=asyncio.get_running_loop().time(),
            )
        )

    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Handle one item."""
        match item.WhichOneof("body"):
            case "heartbeat":
                now = asyncio.get_running_loop().time()
                self.heartbeat_delays.append(now - item.heartbeat.sent_at)
                link.heartbeat = item.heartbeat
            case "configuration_ask":
                self.gossip.send_configuration(link, item.configuration_ask)
            case "configuration":
                self.gossip.handle_configuration(item.configuration)

    def adopt_from_store(self, document: dict[str, Any]) -> None:
        """Adopt a configuration as if a store watch had delivered it."""
        changed = PlatformObject(
            name="main",
            revision=1,
            is_deleted=False,
            document={"specification": document},
        )
        self.configuration.adopt_changes((changed,), 1, 0.0)

    async def async_run(self) -> None:
        """Request updates until cancelled."""
        while True:
            self.gossip.request_updates()
            await asyncio.sleep(UPDATE_INTERVAL)

    async def async_serve_callers(self) -> None:
        """Load the link with caller traffic until cancelled."""
        while True:
            now = asyncio.get_running_loop().time()
            for port in (self.outgoing, self.incoming):
                port.transmit(port.bandwidth * CALLERS_SHARE * CALLERS_PAUSE, now)
            await asyncio.sleep(CALLERS_PAUSE)

    def _note_adopted(self) -> None:
        now = asyncio.get_running_loop().time()
        self.adopted_at_by_version[self.configuration.version] = now


@dataclass(kw_only=True)
class Outcome:
    """Effects of configuration changes on a fleet."""

    watched_at_by_version: dict[int, float] = field(default_factory=dict)
    """Time at which the watchers of the store had each version."""

    members: list[Member]
    watchers: list[Member]
    links_lost: int = 0

    def max_delay(self, version: int) -> float:
        """Return the time until all members had a version or a later one."""
        watched_at = self.watched_at_by_version[version]
        return max(
            min(
                (at for v, at in m.adopted_at_by_version.items() if v >= version),
                default=float("inf"),
            )
            - watched_at
            for m in self.members
        )


def large_configuration(version: int, routes: int) -> dict[str, Any]:
    """Return a configuration with hash-like route prefixes, which compress badly."""
    paths = [
        route(f"/{number * 2654435761 % 2**32:x}/", "safe", name=f"r{number}")
        for number in range(routes)
    ]
    return configuration(version, paths)


async def async_distribute(
    documents: list[dict[str, Any]],
    *,
    members: int,
    watchers: int,
    bandwidth: float,
    watcher_bandwidth: float,
    pause: float,
    settle: float,
) -> Outcome:
    """Let the watchers adopt configurations in turn, and return the effects."""
    outcome = Outcome(
        members=[Member(f"m{number}", bandwidth) for number in range(members)],
        watchers=[
            Member(f"w{number}", watcher_bandwidth) for number in range(watchers)
        ],
    )
    tasks = []
    links = []
    for member in outcome.members:
        for watcher in outcome.watchers:
            ends = _connect(member, watcher)
            links += [link for link, _ in ends]
            tasks += [asyncio.create_task(link.async_run(end)) for link, end in ends]
    everyone = [*outcome.members, *outcome.watchers]
    tasks += [asyncio.create_task(each.async_run()) for each in everyone]
    tasks += [asyncio.create_task(m.async_serve_callers()) for m in outcome.members]
    await asyncio.sleep(1.0)
    for version, document in enumerate(documents, 1):
        for watcher in outcome.watchers:
            watcher.adopt_from_store(document)
        outcome.watched_at_by_version[version] = asyncio.get_running_loop().time()
        await asyncio.sleep(pause)
    await asyncio.sleep(settle)
    outcome.links_lost = sum(link.is_closed for link in links)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return outcome


def _connect(member: Member, watcher: Member) -> list[tuple[PeerLink, SlowStream]]:
    """Open a link from a member to a watcher; return both ends."""
    now = asyncio.get_running_loop().time()
    ends = []
    for own, other, is_outgoing in ((member, watcher, True), (watcher, member, False)):
        link = PeerLink(
            own, now, is_outgoing=is_outgoing, document_budget=own.documents
        )
        link.incarnation = link.peer = other.name
        own.links.append(link)
        if is_outgoing:
            own.outgoing_by_peer[other.name] = link
        ends.append((link, SlowStream(own.outgoing, own.incoming)))
    ends[0][1].join(ends[1][1])
    return ends
