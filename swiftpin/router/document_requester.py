"""Asking neighbours for a document that one of them knows in a newer version."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks

ANSWER_TIMEOUT: Final = 0.6
"""Seconds without a part of the answer after which another neighbour is asked."""

MIN_REQUEST_INTERVAL: Final = 0.4
"""Seconds between two questions at least: each answer costs processor time at both
sides, and targets change many times a second while many of them come and go."""


class DocumentRequester:
    """Asks one neighbour at a time, and waits while its answer is arriving.

    An answer may take longer over a thin link than a neighbour needs to be asked again;
    several answers under way delay each other and everything else on the link.
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
        """Tells by a neighbour's heartbeat whether it knows something newer."""

        self._send_request = send_request
        self._delay = delay
        """Returns the seconds to stay behind before a neighbour is asked."""

        self._behind_since: float | None = None
        self._pending_link: PeerLink | None = None
        self._requested_at = -MIN_REQUEST_INTERVAL
        self._last_requested = ""
        """Incarnation of the neighbour that was asked last."""

    @property
    def is_behind(self) -> bool:
        """Return whether a neighbour that was heard at the last look is ahead."""
        return self._behind_since is not None

    @callback
    def update(self, now: float) -> None:
        """Ask a neighbour, if one is ahead and no answer is on its way."""
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
        """Ask a neighbour, unless another one's answer is on its way."""
        if self._is_answer_pending(now):
            return
        self._pending_link, self._requested_at = link, now
        self._last_requested = link.incarnation
        self._send_request(link)

    @callback
    def note_answer(self) -> None:
        """Note that an answer has arrived; it may be outdated already."""
        self._pending_link = None

    @callback
    def _is_answer_pending(self, now: float) -> bool:
        """Return whether an answer is on its way."""
        link = self._pending_link
        if link is None or link.is_closed:
            return False
        return now - max(self._requested_at, link.last_fragment_at) < ANSWER_TIMEOUT

    @callback
    def _choose_neighbour(self, ahead: list[PeerLink], now: float) -> PeerLink:
        """Return the neighbour to ask: one that is heard, and not the last one again.

        One that froze or was cut off stays among the links for a second, and whoever
        asks it alone learns of a leaving target that much later. Each instance chooses
        at random, since many fall behind at the same moment.
        """
        heard = [link for link in ahead if link.is_responsive(now)] or ahead
        others = [link for link in heard if link.incarnation != self._last_requested]
        return self._rng.choice(others or heard)
