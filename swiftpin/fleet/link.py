"""One open link between two instances."""

from __future__ import annotations

import asyncio
from typing import Any, Final, Protocol

from google.protobuf.message import DecodeError

from swiftpin.core import callback
from swiftpin.fleet.document_channel import (
    DocumentBudget,
    DocumentChannel,
    DocumentFactory,
)
from swiftpin.fleet.frame_stream import FrameError
from swiftpin.fleet.item import Item
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.fleet.proto import fleet_pb2 as pb

HEARTBEAT_INTERVAL: Final = 0.3
"""Seconds after a frame on a link until a heartbeat is sent."""

MAX_HEARTBEAT_INTERVAL: Final = 0.9
"""Seconds between two heartbeats at most on a link that has other frames: versions
travel in them. Each frame costs processor time at both ends."""

SILENCE_TIMEOUT: Final = 1.2
"""Seconds without a frame after which a link is closed: four heartbeats. A connection
can fall silent without being closed."""

RESPONSIVE_LIMIT: Final = 0.6
"""Seconds without a frame after which nobody waits for an answer on a link any more:
two heartbeats. Objectives are of half a second and more."""

MAX_QUEUED_ITEMS: Final = 20_000
"""Items that may wait to be sent; a link that is further behind is closed."""


class FrameConnection(Protocol):
    """A connection's frames, at either side."""

    async def send_message(self, message: Any) -> None:  # noqa: ANN401
        """Send a frame."""

    async def recv_message(self) -> Any:  # noqa: ANN401
        """Return the next frame, None at the end."""


class LinkHandler(Protocol):
    """Takes what arrives on links."""

    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Take one item."""

    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return the heartbeat to send on a link."""


class PeerLink:
    """Sends items in frames, as many at a time as wait, and hands on what comes in."""

    def __init__(
        self,
        handler: LinkHandler,
        now: float,
        *,
        is_outgoing: bool,
        traffic: LinkTraffic | None = None,
        documents: DocumentBudget | None = None,
    ) -> None:
        self.is_outgoing = is_outgoing
        self.incarnation = ""
        """The other side, once it said who it is."""

        self.peer = ""
        self.cpu_capacity = 1.0
        self.heartbeat: Item | None = None
        self.vote_expires_at = 0.0
        """Until when the other side leaves the lease alone, on the holder's clock."""

        self.last_received_at = now
        self.last_fragment_at = 0.0
        """When a part of a document arrived last."""

        self.is_closed = False
        self.is_timed_out = False
        """Whether the link ended since the other side was not heard."""

        self._traffic = traffic or LinkTraffic()
        self._sent_at = now
        self._heartbeat_at = now
        self._last_heartbeat: Item | None = None
        self._handler = handler
        self._waiting: list[Item] = []
        self._lane = DocumentChannel(
            documents or DocumentBudget(0.0), self.send, self._traffic
        )
        self._wake = asyncio.Event()

    @callback
    def send(self, item: Item) -> None:
        """Send an item as soon as the link can take it."""
        if self.is_closed:
            return
        if len(self._waiting) >= MAX_QUEUED_ITEMS:
            self.close()
            return
        self._traffic.count_items(item.WhichOneof("body"))
        self._waiting.append(item)
        self._wake.set()

    @callback
    def send_document(self, make: DocumentFactory) -> None:
        """Send what may be long, without delaying what is sent meanwhile.

        It is made when its turn comes, from what is known then.
        """
        if not self.is_closed:
            self._lane.add(make)

    @callback
    def send_after_documents(self, item: Item) -> None:
        """Send an item that must not arrive before documents sent earlier."""
        if self._lane.is_idle:
            self.send(item)
        else:
            self.send_document(lambda: item)

    @callback
    def close(self) -> None:
        """End the link."""
        self.is_closed = True
        self._lane.close()
        self._wake.set()

    @callback
    def is_alive(self, now: float) -> bool:
        """Return whether the other side was heard lately."""
        return not self.is_closed and now - self.last_received_at < SILENCE_TIMEOUT

    @callback
    def is_responsive(self, now: float) -> bool:
        """Return whether an answer on the link is to be expected."""
        return not self.is_closed and now - self.last_received_at < RESPONSIVE_LIMIT

    async def async_run(self, stream: FrameConnection) -> None:
        """Serve the link until either side ends it or falls silent."""
        tasks = {
            asyncio.create_task(self._async_send(stream)),
            asyncio.create_task(self._async_receive(stream)),
            asyncio.create_task(self._async_watch()),
        }
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            self.close()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_send(self, stream: FrameConnection) -> None:
        """Send what waits."""
        while not self.is_closed:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                items, self._waiting = self._waiting, []
                self._sent_at = asyncio.get_running_loop().time()
                await stream.send_message(pb.Frame(items=items))

    async def _async_receive(self, stream: FrameConnection) -> None:
        """Hand on what arrives."""
        loop = asyncio.get_running_loop()
        while not self.is_closed:
            frame = await stream.recv_message()
            if frame is None:
                return
            self.last_received_at = loop.time()
            for item in frame.items:
                self._take(item)

    @callback
    def _take(self, item: Item) -> None:
        """Hand on an item, a document once it is whole."""
        match item.WhichOneof("body"):
            case "fragment":
                self.last_fragment_at = self.last_received_at
                self._take_fragment(item.fragment)
            case "fragment_taken":
                self._lane.confirm_fragment()
            case _:
                self._handler.handle_item(self, item)

    @callback
    def _take_fragment(self, fragment: pb.Fragment) -> None:
        """Take a part of a document."""
        try:
            document = self._lane.receive_fragment(fragment)
        except DecodeError as err:
            raise FrameError(f"unreadable document: {err}") from err
        if document is not None:
            self._handler.handle_item(self, document)

    async def _async_watch(self) -> None:
        """Send heartbeats, and end the link when none come back."""
        loop = asyncio.get_running_loop()
        while self.is_alive(now := loop.time()):
            item = self._handler.make_heartbeat(self)
            due_at = self._heartbeat_due_at(item.heartbeat)
            if now >= due_at:
                self.send(item)
                self._sent_at = self._heartbeat_at = now
                self._last_heartbeat = item.heartbeat
                due_at = now + HEARTBEAT_INTERVAL
            await asyncio.sleep(min(due_at - now, HEARTBEAT_INTERVAL))
        self.is_timed_out = not self.is_closed

    @callback
    def _heartbeat_due_at(self, heartbeat: Item) -> float:
        """Return when a heartbeat is to be sent.

        The assigner's always come at their pace: candidates wait for them. So do all
        while one side has lost the store, since votes travel in them. Changes that all
        are waiting for go at once. Changes of targets, which come in bursts, go at the
        usual pace, and only to those that opened the link to hear of them.
        """
        last = self._last_heartbeat
        if last is None:
            return self._heartbeat_at
        is_urgent = (last.configuration, last.stopping, last.term, last.leads) != (
            heartbeat.configuration,
            heartbeat.stopping,
            heartbeat.term,
            heartbeat.leads,
        )
        if is_urgent:
            return self._heartbeat_at
        has_targets = not self.is_outgoing and last.targets != heartbeat.targets
        is_lost = heartbeat.store_lost or (
            self.heartbeat is not None and self.heartbeat.store_lost
        )
        if heartbeat.leads or is_lost or has_targets:
            return self._heartbeat_at + HEARTBEAT_INTERVAL
        return min(
            self._sent_at + HEARTBEAT_INTERVAL,
            self._heartbeat_at + MAX_HEARTBEAT_INTERVAL,
        )
