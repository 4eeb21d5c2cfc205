"""Requests for documents of which a neighbour has a newer version."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks

ANSWER_TIMEOUT: Final = 0.6
"""Seconds without an answer or a fragment of it before another neighbour is asked."""

MIN_REQUEST_INTERVAL: Final = 0.4
"""Minimum seconds between two requests. Each answer costs CPU time at both ends, and
the target list changes many times per second while many targets join and leave."""


class DocumentRequester:
    """Requests a document from one neighbour at a time and waits for its answer.

    On a slow link an answer can take longer than `ANSWER_TIMEOUT`. Parallel answers
    would delay each other and all other messages on the link.
    """

    def __init__(
        self,
        *,
        links: FleetLinks,
        rng: Random,
        is_ahead: Callable[[Item], bool],
        send_request: Callable[[PeerLink], None],
        delay: Callable[[], float],
    ) -> None:
        self._links = links
        self._rng = rng
        self._is_ahead = is_ahead
        """Returns whether a neighbour's heartbeat announces a newer version."""

        self._send_request = send_request
        self._delay = delay
        """Returns the seconds to wait for a direct update before asking a neighbour."""

        self._behind_since: float | None = None
        self._pending_link: PeerLink | None = None
        self._requested_at = -MIN_REQUEST_INTERVAL
        self._last_requested = ""
        """Incarnation of the neighbour that received the last request."""

    @property
    def is_behind(self) -> bool:
        """Return whether a live neighbour was ahead at the last update."""
        return self._behind_since is not None

    @callback
    def update(self, now: float) -> None:
        """Send a request if a neighbour is ahead and no answer is pending."""
        ahead = [
            link
            for link in self._links.live_links()
            if link.heartbeat is not None and self._is_ahead(link.heartbeat)
        ]
        if not ahead:
            self._behind_since = self._pending_link = None
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._requested_at < MIN_REQUEST_INTERVAL:
            return
        if now - self._behind_since >= self._delay():
            self.request(self._choose_neighbour(ahead, now), now)

    @callback
    def request(self, link: PeerLink, now: float) -> None:
        """Send a request to a neighbour, unless an answer is pending."""
        if self._is_answer_pending(now):
            return
        self._pending_link, self._requested_at = link, now
        self._last_requested = link.incarnation
        self._send_request(link)

    @callback
    def note_answer(self) -> None:
        """Record that an answer has arrived; it may already be outdated."""
        self._pending_link = None

    @callback
    def _is_answer_pending(self, now: float) -> bool:
        """Return whether a requested answer can still arrive."""
        link = self._pending_link
        if link is None or link.is_closed:
            return False
        return now - max(self._requested_at, link.last_fragment_at) < ANSWER_TIMEOUT

    @callback
    def _choose_neighbour(self, ahead: list[PeerLink], now: float) -> PeerLink:
        """Return a random neighbour, preferably responsive and not the last one asked.

        The link of a neighbour that froze or was cut off counts as live for another
        second. An instance that asked only this one would learn of a leaving target
        that much later. The choice is random because many instances fall behind at
        the same moment.
        """
        responsive = [link for link in ahead if link.is_responsive(now)] or ahead
        others = [
            link for link in responsive if link.incarnation != self._last_requested
        ]
        return self._rng.choice(others or responsive)
