"""An open link between two instances."""

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
"""Seconds after the last sent frame until a heartbeat is sent."""

MAX_HEARTBEAT_INTERVAL: Final = 0.9
"""Maximum seconds between two heartbeats on a link with other traffic. Heartbeats carry
version numbers, so they can't be omitted; each costs CPU time at both ends."""

SILENCE_TIMEOUT: Final = 1.2
"""Seconds without a received frame after which a link is closed: four heartbeats.
Detects connections that fail without being closed."""

RESPONSIVE_LIMIT: Final = 0.6
"""Seconds without a received frame after which a link counts as unresponsive and its
answers are no longer awaited: two heartbeats. Latency objectives are 0.5 s or more."""

MAX_QUEUED_ITEMS: Final = 20_000
"""Maximum number of queued items; a link with a longer queue is closed."""


MAX_FRAME_ITEMS: Final = 1000
"""Maximum number of items in one frame."""


class FrameConnection(Protocol):
    """A connection that sends and receives frames."""

    async def send_message(self, message: Any) -> None:  # noqa: ANN401
        """Send a frame."""

    async def recv_message(self) -> Any:  # noqa: ANN401
        """Return the next frame, None at the end of the stream."""


class LinkHandler(Protocol):
    """Handles the items that arrive on links and creates heartbeats."""

    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Handle a received item."""

    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return the next heartbeat to send on a link."""


class PeerLink:
    """Sends queued items in batches, one frame each, and dispatches received items."""

    def __init__(
        self,
        handler: LinkHandler,
        now: float,
        *,
        is_outgoing: bool,
        traffic: LinkTraffic | None = None,
        document_budget: DocumentBudget | None = None,
    ) -> None:
        self.is_outgoing = is_outgoing
        self.incarnation = ""
        """Incarnation of the other side, empty until its `Hello` arrives."""

        self.peer = ""
        """Address of the other side, empty until it is known."""

        self.relay = ""
        """Address at which the other side passes requests on, empty if it does not."""

        self.zone = ""
        self.cpu_capacity = 1.0
        self.heartbeat: Item | None = None
        self.vote_expires_at = 0.0
        """Time on the lease holder's clock until which the other side won't acquire
        the lease."""

        self.last_received_at = now
        self.last_fragment_at = 0.0
        """Time at which the last fragment of a document arrived."""

        self.is_closed = False
        self.is_timed_out = False
        """Whether the link was closed because no frames arrived."""

        self._traffic = traffic or LinkTraffic()
        self._sent_at = now
        self._heartbeat_at = now
        self._last_heartbeat: Item | None = None
        self._handler = handler
        self._queue: list[Item] = []
        self._document_channel = DocumentChannel(
            document_budget or DocumentBudget(0.0), self.send, self._traffic
        )
        self._queue_filled = asyncio.Event()

    @callback
    def send(self, item: Item) -> None:
        """Queue an item; close the link if its queue is full."""
        if self.is_closed:
            return
        if len(self._queue) >= MAX_QUEUED_ITEMS:
            self.close()
            return
        self._traffic.count_items(item.WhichOneof("body"))
        self._queue.append(item)
        self._queue_filled.set()

    @callback
    def send_document(self, factory: DocumentFactory) -> None:
        """Queue a document, whose fragments don't delay other items.

        It is created when its transmission starts, from the state at that time.
        """
        if not self.is_closed:
            self._document_channel.add(factory)

    @callback
    def send_after_documents(self, item: Item) -> None:
        """Send an item that must not overtake documents sent earlier."""
        if self._document_channel.is_idle:
            self.send(item)
        else:
            self.send_document(lambda: item)

    @callback
    def close(self) -> None:
        """Close the link."""
        self.is_closed = True
        self._document_channel.close()
        self._queue_filled.set()

    @callback
    def is_alive(self, now: float) -> bool:
        """Return whether the link is open and received a frame recently."""
        return not self.is_closed and now - self.last_received_at < SILENCE_TIMEOUT

    @callback
    def is_responsive(self, now: float) -> bool:
        """Return whether the other side can be expected to answer soon."""
        return not self.is_closed and now - self.last_received_at < RESPONSIVE_LIMIT

    async def async_run(self, stream: FrameConnection) -> None:
        """Run the link until either side closes it or stops sending."""
        tasks = {
            asyncio.create_task(self._async_send(stream)),
            asyncio.create_task(self._async_receive(stream)),
            asyncio.create_task(self._async_send_heartbeats()),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            _raise_errors(tasks)
        finally:
            self.close()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            # An error's traceback leads to this frame, and with it to the task that
            # holds the error and to what the connection has read.
            tasks.clear()
            del task

    async def _async_send(self, stream: FrameConnection) -> None:
        """Send queued items."""
        while not self.is_closed:
            await self._queue_filled.wait()
            self._queue_filled.clear()
            while self._queue:
                items = self._queue[:MAX_FRAME_ITEMS]
                self._queue = self._queue[MAX_FRAME_ITEMS:]
                self._sent_at = asyncio.get_running_loop().time()
                await stream.send_message(pb.Frame(items=items))

    async def _async_receive(self, stream: FrameConnection) -> None:
        """Receive frames and dispatch their items."""
        loop = asyncio.get_running_loop()
        while not self.is_closed:
            frame = await stream.recv_message()
            if frame is None:
                return
            self.last_received_at = loop.time()
            for item in frame.items:
                self._dispatch(item)

    @callback
    def _dispatch(self, item: Item) -> None:
        """Dispatch an item, and a document once it is complete."""
        match item.WhichOneof("body"):
            case "fragment":
                self.last_fragment_at = self.last_received_at
                self._handle_fragment(item.fragment)
            case "fragment_taken":
                self._document_channel.confirm_fragment()
            case _:
                self._handler.handle_item(self, item)

    @callback
    def _handle_fragment(self, fragment: pb.Fragment) -> None:
        """Handle a fragment of a document."""
        try:
            document = self._document_channel.receive_fragment(fragment)
        except DecodeError as err:
            raise FrameError(f"malformed document: {err}") from err
        if document is not None:
            self._handler.handle_item(self, document)

    async def _async_send_heartbeats(self) -> None:
        """Send heartbeats until no frames arrive any more."""
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
        """Return the time at which the next heartbeat is due.

        Heartbeats keep their regular interval on the assigner's links, because
        candidates for the lease wait for them, and while either side can't reach the
        store, because they carry votes. Changes that every instance waits for are sent
        immediately. Changes of targets come in bursts; they are sent at the regular
        interval, and only to instances that opened the link to receive them.
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


def _raise_errors(tasks: set[asyncio.Task[None]]) -> None:
    """Raise the error with which a task has ended, if any has."""
    for task in tasks:
        if task.done() and (err := task.exception()) is not None:
            try:
                raise err
            finally:
                # The error's traceback leads to this frame.
                del tasks, task, err
