"""Documents on their way over an instance's links, in small parts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.fleet.proto import fleet_pb2 as pb

FRAGMENT_SIZE: Final = 4 * 1024
"""Bytes of a document in one fragment."""

MAX_UNCONFIRMED_FRAGMENTS: Final = 2
"""Fragments on a link that the other side has not confirmed yet."""

MAX_IN_FLIGHT_SECONDS: Final = 0.05
"""Seconds of an instance's own link that unconfirmed fragments may take altogether."""

MIN_FRAGMENT_BUDGET: Final = 8
"""Unconfirmed fragments on all links that any instance may have."""

EMPTY: Final = memoryview(b"")

DocumentFactory = Callable[[], Item | None]
"""Returns the item to send, None when the other side needs none any more."""


class DocumentBudget:
    """Flow control across all links of an instance.

    Links are served in the order in which they were given something to send, so that
    the first receivers have it whole early and can pass it on.
    """

    def __init__(self, bandwidth: float) -> None:
        fragments = int(bandwidth * MAX_IN_FLIGHT_SECONDS / FRAGMENT_SIZE)
        self._free = max(fragments, MIN_FRAGMENT_BUDGET)
        self._waiting: dict[DocumentChannel, None] = {}

    @callback
    def request(self, lane: DocumentChannel) -> None:
        """Send what a link has as soon as the bounds allow it."""
        self._waiting.setdefault(lane)
        self._send()

    @callback
    def release(self, fragments: int) -> None:
        """Take back fragments that have arrived, or were lost with their link."""
        self._free += fragments
        self._send()

    @callback
    def remove(self, lane: DocumentChannel) -> None:
        """Drop what is queued for a link."""
        self._waiting.pop(lane, None)

    @callback
    def _send(self) -> None:
        """Send fragments while there is room."""
        for lane in list(self._waiting):
            while self._free and lane.send_fragment():
                self._free -= 1
            if lane.is_empty:
                self.remove(lane)
            if not self._free:
                return


class DocumentChannel:
    """Sends a link's documents in order, and puts together those that arrive.

    In one piece a document would delay whatever is sent after it, also heartbeats, by
    the time that it takes on the thinnest link of its way.
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
        self._rest = EMPTY
        """What is still to be sent of the present document."""

        self._unconfirmed = 0
        self._arrived: list[bytes] = []

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is left to be sent."""
        return not self._rest and not self._documents

    @property
    def is_idle(self) -> bool:
        """Return whether all that was sent has arrived."""
        return self.is_empty and not self._unconfirmed

    @callback
    def add(self, make: DocumentFactory) -> None:
        """Send a document, made when its turn comes, after those before it."""
        self._documents.append(make)
        self._budget.request(self)

    @callback
    def send_fragment(self) -> bool:
        """Send the next fragment; return whether there was one that may be sent."""
        if self._unconfirmed >= MAX_UNCONFIRMED_FRAGMENTS:
            return False
        while not self._rest and self._documents:
            self._begin(self._documents.popleft())
        if not self._rest:
            return False
        data, self._rest = self._rest[:FRAGMENT_SIZE], self._rest[FRAGMENT_SIZE:]
        self._unconfirmed += 1
        fragment = pb.Fragment(data=bytes(data), is_last=not self._rest)
        self._send(pb.Item(fragment=fragment))
        return True

    @callback
    def _begin(self, make: DocumentFactory) -> None:
        """Make a document, if the other side still needs it."""
        item = make()
        if item is not None:
            self._traffic.count_items(item.WhichOneof("body"))
            self._rest = memoryview(item.SerializeToString())

    @callback
    def confirm_fragment(self) -> None:
        """Note that the other side has taken a fragment."""
        if self._unconfirmed:
            self._unconfirmed -= 1
            self._budget.release(1)

    @callback
    def receive_fragment(self, fragment: pb.Fragment) -> Item | None:
        """Take a fragment; return the document if it is whole.

        Raises `DecodeError` when it can't be read.
        """
        self._send(pb.Item(fragment_taken=pb.FragmentTaken()))
        self._arrived.append(fragment.data)
        if not fragment.is_last:
            return None
        whole, self._arrived = b"".join(self._arrived), []
        return pb.Item.FromString(whole)

    @callback
    def close(self) -> None:
        """Send nothing more; what is under way is lost."""
        self._documents.clear()
        self._rest = EMPTY
        self._budget.remove(self)
        lost, self._unconfirmed = self._unconfirmed, 0
        if lost:
            self._budget.release(lost)
