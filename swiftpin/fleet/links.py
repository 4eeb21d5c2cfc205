"""Management of an instance's links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.exceptions import ConfigurationError
from swiftpin.fleet.document_channel import DocumentBudget
from swiftpin.fleet.frame_stream import (
    MAX_FIRST_FRAME_SIZE,
    MAX_FRAME_SIZE,
    FrameBudget,
    FrameError,
    FrameStream,
)
from swiftpin.fleet.link import LinkHandler, PeerLink
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.helpers.address import Address, parse_address

RECONNECT_PAUSE: Final = 0.2
"""Seconds before a lost link is reopened."""

CONNECT_TIMEOUT: Final = 1.0
"""Timeout in seconds for opening a link; a failed host doesn't refuse connections."""

MAX_UNIDENTIFIED: Final = 512
"""Maximum number of incoming links whose other side has not said who it is; the oldest
one is closed for a new one. All instances of a fleet may open theirs at once."""

LINK_ERRORS: Final = (FrameError, OSError, TimeoutError)


class FleetLinks:
    """Keeps links open to a set of peers and serves links that others open."""

    def __init__(
        self,
        *,
        incarnation: str,
        own_peer: str,
        cpu_capacity: float,
        handler: LinkHandler,
        bandwidth: float = 0.0,
        relay: str = "",
        zone: str = "",
    ) -> None:
        self.outgoing_by_peer: dict[str, PeerLink] = {}
        self.incoming: dict[PeerLink, None] = {}
        """Links that others opened, the oldest first."""

        self.max_incoming = math.inf
        """Maximum number of links that others open; a further one is closed."""

        self.on_lost: Callable[[PeerLink], None] = _ignore_lost_link
        self.traffic = LinkTraffic()
        self._document_budget = DocumentBudget(bandwidth)
        self._frame_budget = FrameBudget()
        self._incarnation = incarnation
        self._own_peer = own_peer
        self._cpu_capacity = cpu_capacity
        self._relay = relay
        self._zone = zone
        self._handler = handler
        self._tasks_by_peer: dict[str, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None

    async def async_setup(self, listen: Address) -> None:
        """Listen for links from other instances."""
        try:
            self._server = await asyncio.start_server(
                self._async_accept, listen.host, listen.port
            )
        except OSError as err:
            raise ConfigurationError(f"cannot listen on {listen}: {err}") from err

    async def async_unload(self) -> None:
        """Close all links."""
        for task in self._tasks_by_peer.values():
            task.cancel()
        for link in list(self.incoming):
            link.close()
        if self._server is not None:
            self._server.close()
            self._server = None

    @callback
    def set_peers(self, peers: set[str]) -> None:
        """Set the addresses to keep links to; close outgoing links to others."""
        wanted = peers - {self._own_peer, ""}
        for peer in self._tasks_by_peer.keys() - wanted:
            self._tasks_by_peer.pop(peer).cancel()
        for peer in wanted - self._tasks_by_peer.keys():
            self._tasks_by_peer[peer] = asyncio.create_task(self._async_keep_open(peer))

    @callback
    def live_links(self) -> list[PeerLink]:
        """Return the identified links that received a frame recently."""
        now = asyncio.get_running_loop().time()
        links = [*self.outgoing_by_peer.values(), *self.incoming]
        return [link for link in links if link.incarnation and link.is_alive(now)]

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a link that another instance opened."""
        if not self._make_room():
            writer.transport.abort()
            return
        link = self._make_link(is_outgoing=False)
        self.incoming[link] = None
        try:
            await self._async_serve(link, reader, writer)
        finally:
            self.incoming.pop(link, None)

    @callback
    def _make_room(self) -> bool:
        """Close the oldest unidentified link if there are many; return if one fits."""
        unidentified = [link for link in self.incoming if not link.incarnation]
        if len(unidentified) >= MAX_UNIDENTIFIED:
            unidentified[0].close()
            # A closed link is removed when its task has ended.
            self.incoming.pop(unidentified[0])
        return len(self.incoming) < self.max_incoming

    async def _async_keep_open(self, peer: str) -> None:
        """Keep a link to an address open until cancelled."""
        is_reported = False
        while True:
            try:
                await self._async_open(peer)
            except (OSError, TimeoutError) as err:
                if not is_reported:
                    log_message(
                        message_type="peer_not_reached",
                        level="warning",
                        peer=peer,
                        reason=repr(err),
                    )
                is_reported = True
            else:
                is_reported = False
            await asyncio.sleep(RECONNECT_PAUSE)

    async def _async_open(self, peer: str) -> None:
        """Open a link and serve it until it is closed."""
        try:
            address = parse_address(peer)
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
        except ValueError as err:
            # No address, or a name that no lookup takes.
            raise ConnectionError(f"no link to {peer}: {err}") from err
        link = self._make_link(is_outgoing=True)
        link.peer = peer
        self.outgoing_by_peer[peer] = link
        try:
            await self._async_serve(link, reader, writer)
        finally:
            if self.outgoing_by_peer.get(peer) is link:
                del self.outgoing_by_peer[peer]

    async def _async_serve(
        self,
        link: PeerLink,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a link until it is closed or fails."""
        stream = FrameStream(
            reader,
            writer,
            self.traffic,
            max_size=lambda: (
                MAX_FRAME_SIZE if link.incarnation else MAX_FIRST_FRAME_SIZE
            ),
            budget=self._frame_budget,
        )
        self._send_hello(link)
        try:
            await link.async_run(stream)
        except LINK_ERRORS as err:
            self._report_lost_link(link, "error", repr(err))
        else:
            reason = "silent" if link.is_timed_out else "ended"
            self._report_lost_link(link, reason, reason)
        finally:
            # Also when this instance closes the link: requests pending on it would
            # otherwise wait until they time out.
            stream.close()
            self.on_lost(link)

    @callback
    def _make_link(self, *, is_outgoing: bool) -> PeerLink:
        """Return a new link that is not served yet."""
        now = asyncio.get_running_loop().time()
        return PeerLink(
            self._handler,
            now,
            is_outgoing=is_outgoing,
            traffic=self.traffic,
            document_budget=self._document_budget,
        )

    @callback
    def _send_hello(self, link: PeerLink) -> None:
        """Send this instance's `Hello`."""
        link.send(
            pb.Item(
                hello=pb.Hello(
                    incarnation=self._incarnation,
                    peer=self._own_peer,
                    strength=self._cpu_capacity,
                    relay=self._relay,
                    zone=self._zone,
                )
            )
        )

    @callback
    def _report_lost_link(self, link: PeerLink, reason: str, detail: str) -> None:
        """Count and log a lost link."""
        self.traffic.count_lost_link(reason)
        log_message(
            message_type="peer_lost",
            level="warning",
            peer=link.incarnation or link.peer,
            outgoing=link.is_outgoing,
            reason=detail,
        )


@callback
def _ignore_lost_link(link: PeerLink) -> None:
    """Do nothing; the default handler of lost links."""
