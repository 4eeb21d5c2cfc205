"""Transfer of documents over an instance's links in small fragments."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from google.protobuf.message import DecodeError

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.fleet.proto import fleet_pb2 as pb

FRAGMENT_SIZE: Final = 4 * 1024
"""Maximum number of bytes of a document in one fragment."""

MAX_UNCONFIRMED_FRAGMENTS: Final = 2
"""Maximum number of fragments on one link that the other side has not confirmed."""

MAX_IN_FLIGHT_SECONDS: Final = 0.05
"""Limit on all unconfirmed fragments, in seconds of the instance's own bandwidth."""

MIN_FRAGMENT_BUDGET: Final = 8
"""Minimum of the limit on all unconfirmed fragments, regardless of the bandwidth."""

MAX_DOCUMENT_SIZE: Final = 16 * 1024 * 1024
"""Maximum number of bytes of a document that arrives. The store's objects have 1 MiB,
the list of thousands of targets not much more."""

EMPTY: Final = memoryview(b"")

DocumentFactory = Callable[[], Item | None]
"""Returns the item to send, or None if the other side no longer needs it."""


class DocumentBudget:
    """Flow control for fragments across all links of an instance.

    Links are served in the order of their first queued document, so that the first
    receivers get the complete document early and can forward it.
    """

    def __init__(self, bandwidth: float) -> None:
        fragments = int(bandwidth * MAX_IN_FLIGHT_SECONDS / FRAGMENT_SIZE)
        self._available = max(fragments, MIN_FRAGMENT_BUDGET)
        self._queue: dict[DocumentChannel, None] = {}

    @callback
    def request(self, channel: DocumentChannel) -> None:
        """Send a link's queued fragments as soon as the limits permit."""
        self._queue.setdefault(channel)
        self._send_fragments()

    @callback
    def release(self, fragments: int) -> None:
        """Return the budget of fragments that arrived or were lost with their link."""
        self._available += fragments
        self._send_fragments()

    @callback
    def remove(self, channel: DocumentChannel) -> None:
        """Remove a link from the queue."""
        self._queue.pop(channel, None)

    @callback
    def _send_fragments(self) -> None:
        """Send fragments until the budget is used up."""
        for channel in list(self._queue):
            while self._available and channel.send_fragment():
                self._available -= 1
            if channel.is_empty:
                self.remove(channel)
            if not self._available:
                return


class DocumentChannel:
    """Sends a link's documents in order and reassembles those that arrive.

    A document sent in one piece would delay all later items, heartbeats included, by
    its transmission time on the slowest link of the path.
    """

    def __init__(
        self,
        budget: DocumentBudget,
        send: Callable[[Item], None],
        traffic: LinkTraffic,
    ) -> None:
        self._budget = budget
        self._traffic = traffic
        self._send = send
        self._documents: deque[DocumentFactory] = deque()
        self._unsent = EMPTY
        """Unsent part of the current document."""

        self._unconfirmed = 0
        self._received = bytearray()

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is queued."""
        return not self._unsent and not self._documents

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is queued and every sent fragment is confirmed."""
        return self.is_empty and not self._unconfirmed

    @callback
    def add(self, factory: DocumentFactory) -> None:
        """Queue a document; it is created when its transmission starts."""
        self._documents.append(factory)
        self._budget.request(self)

    @callback
    def send_fragment(self) -> bool:
        """Send the next fragment; return False if there is none or it must wait."""
        if self._unconfirmed >= MAX_UNCONFIRMED_FRAGMENTS:
            return False
        while not self._unsent and self._documents:
            self._start_document(self._documents.popleft())
        if not self._unsent:
            return False
        data, self._unsent = self._unsent[:FRAGMENT_SIZE], self._unsent[FRAGMENT_SIZE:]
        self._unconfirmed += 1
        fragment = pb.Fragment(data=bytes(data), is_last=not self._unsent)
        self._send(pb.Item(fragment=fragment))
        return True

    @callback
    def _start_document(self, factory: DocumentFactory) -> None:
        """Create a document and start its transmission, if it is still needed."""
        item = factory()
        if item is not None:
            self._traffic.count_items(item.WhichOneof("body"))
            self._unsent = memoryview(item.SerializeToString())

    @callback
    def confirm_fragment(self) -> None:
        """Record the other side's confirmation of a fragment."""
        if self._unconfirmed:
            self._unconfirmed -= 1
            self._budget.release(1)

    @callback
    def receive_fragment(self, fragment: pb.Fragment) -> Item | None:
        """Confirm a received fragment; return the document if it is complete.

        Raises `DecodeError` if the document is malformed or too long.
        """
        self._send(pb.Item(fragment_taken=pb.FragmentTaken()))
        self._received += fragment.data
        if len(self._received) > MAX_DOCUMENT_SIZE:
            raise DecodeError(f"more than {MAX_DOCUMENT_SIZE} bytes")
        if not fragment.is_last:
            return None
        encoded, self._received = bytes(self._received), bytearray()
        return pb.Item.FromString(encoded)

    @callback
    def close(self) -> None:
        """Drop all queued documents and release the budget of unconfirmed fragments."""
        self._documents.clear()
        self._unsent = EMPTY
        self._budget.remove(self)
        lost, self._unconfirmed = self._unconfirmed, 0
        if lost:
            self._budget.release(lost)
