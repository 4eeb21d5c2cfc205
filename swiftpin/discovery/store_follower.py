"""Follow all store objects of one kind with a list and watches."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import StoreError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_answers import ObjectChanges
from swiftpin.platform.store_client import StoreClient
from swiftpin.store_errors import HistoryGoneError

WATCH_WAIT: Final = 15.0
"""Seconds for which one watch waits for a change. Longer watches need fewer calls,
each of which has a cost. A connection may hang without a reset: the lease holder's
heartbeats reveal this within a second, and without them a watch waits only for
`UNCONFIRMED_WAIT`."""

UNCONFIRMED_WAIT: Final = 0.8
UNCONFIRMED_GRACE: Final = 0.6
"""Seconds for which a watch waits, and after that until its connection counts as
hanging. These apply on the lease holder and on instances whose known state the holder
does not confirm. A change is then known within 1.4 seconds, while a leaving target
accepts requests for 2 seconds. The store takes 0.4 seconds to answer when slowed down
a hundredfold. One instance makes 2 calls per second, one for each kind."""

CHECK_INTERVAL: Final = 0.25
"""Seconds between checks whether a pending watch is still reliable."""

CHANGE_DELAY: Final = 0.12
"""Seconds from a change to the next watch: changes come in bursts, and each call of
each instance has a cost. This is far below any limit for reacting to a change."""

MIN_RETRY_DELAY: Final = 0.1
MAX_RETRY_DELAY: Final = 1.0
"""Bounds in seconds of the delay between attempts while the store is unavailable. The
delay is doubled after each attempt. A recovery is noticed within a second, and 88
instances make fewer than 100 calls per second."""


SKIP_CHECK_INTERVAL: Final = 0.3
"""Seconds between checks whether other instances still report the changes."""


class Follower(Protocol):
    """Receiver of lists and changes; called in the event loop."""

    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Adopt the complete list of objects at a revision."""

    def adopt_changes(
        self,
        objects: tuple[PlatformObject, ...],
        revision: int,
        now: float,
        *,
        is_catching_up: bool = False,
    ) -> None:
        """Adopt the changes up to a revision; there may be none.

        `is_catching_up` is set if the changes may have occurred a while ago.
        """

    def resume_revision(self, revision: int) -> int | None:
        """Return the revision to resume from after other instances reported changes.

        `revision` is the revision of the last answer of the store. None requests a new
        list.
        """


class Neighbours(Protocol):
    """Information from other instances about the store."""

    @property
    def store_reports(self) -> int:
        """Number of reports that an instance lost the store or regained it."""

    def is_confirmed(self) -> bool:
        """Return whether an instance connected to the store would report a change."""


class Duty(Protocol):
    """Decides whether this instance has to watch the store itself."""

    def is_skipped(self) -> bool:
        """Return whether other instances report changes to this one."""

    def max_retry_delay(self, min_delay: float) -> float:
        """Return the maximum delay between attempts while the store is unavailable."""


class NoNeighbours:
    """Neighbours of an instance that gets no reports."""

    store_reports = 0

    @callback
    def is_confirmed(self) -> bool:
        """Return False."""
        return False


class AlwaysWatch:
    """Duty of an instance to which no other instance reports changes."""

    @callback
    def is_skipped(self) -> bool:
        """Return False."""
        return False

    @callback
    def max_retry_delay(self, min_delay: float) -> float:
        """Return the given delay."""
        return min_delay


class StoreFollower:
    """Lists a kind once, then watches it; lists again when the history is gone.

    A watch with a hanging connection looks the same as one without changes. Therefore
    a long watch stays open only while another instance would report a change. The watch
    is restarted if no instance confirms the known state any more, or if this instance
    or a neighbour lost the store after it started: its answer may be lost too.
    """

    def __init__(
        self,
        kind: str,
        client: StoreClient,
        follower: Follower,
        health: StoreHealth,
        *,
        duty: Duty | None = None,
        neighbours: Neighbours | None = None,
    ) -> None:
        self._duty = duty or AlwaysWatch()
        self._neighbours = neighbours or NoNeighbours()
        self._kind = kind
        self._client = client
        self._follower = follower
        self._health = health
        self._revision: int | None = None
        self._is_catching_up = False
        self._was_skipped = False
        """Whether other instances reported the changes since the last answer."""

    async def async_run(self) -> None:
        """Follow until cancelled."""
        delay = MIN_RETRY_DELAY
        while True:
            if self._should_skip_watch():
                self._is_catching_up = True
                await asyncio.sleep(SKIP_CHECK_INTERVAL)
                continue
            try:
                await self._async_poll()
            except HistoryGoneError:
                self._revision = None
            except StoreError as err:
                self._is_catching_up = True
                self._health.record_failure(str(err), suspend_aware_now())
                await asyncio.sleep(delay)
                delay = min(delay * 2, self._duty.max_retry_delay(MAX_RETRY_DELAY))
            else:
                delay = MIN_RETRY_DELAY
                await asyncio.sleep(CHANGE_DELAY)

    @callback
    def _should_skip_watch(self) -> bool:
        """Return whether other instances currently report the changes."""
        if self._revision is None or not self._duty.is_skipped():
            return False
        self._was_skipped = True
        return True

    async def _async_poll(self) -> None:
        """Make one call to the store and pass on the result."""
        if self._revision is not None and self._was_skipped:
            self._revision = self._follower.resume_revision(self._revision)
        self._was_skipped = False
        if self._revision is None:
            listed = await self._client.async_list(self._kind)
            now = suspend_aware_now()
            self._health.record_answer(now)
            self._follower.adopt_list(listed.objects, listed.revision, now)
            self._revision = listed.revision
            return
        changes = await self._async_watch(self._revision)
        if changes is None:
            return
        now = suspend_aware_now()
        self._health.record_answer(now)
        self._follower.adopt_changes(
            changes.objects,
            changes.revision,
            now,
            is_catching_up=self._is_catching_up,
        )
        self._is_catching_up = False
        # An outdated answer must not move the watch back.
        self._revision = max(self._revision, changes.revision)

    async def _async_watch(self, revision: int) -> ObjectChanges | None:
        """Return the changes after a revision, None if the watch was abandoned."""
        is_long = self._is_reliable() and not self._is_catching_up
        initial_marker = self._outage_marker()
        watch = asyncio.ensure_future(
            self._client.async_watch(self._kind, revision, WATCH_WAIT)
            if is_long
            else self._client.async_watch(
                self._kind, revision, UNCONFIRMED_WAIT, grace=UNCONFIRMED_GRACE
            )
        )
        try:
            while not watch.done():
                await asyncio.wait((watch,), timeout=CHECK_INTERVAL)
                if watch.done() or not is_long:
                    continue
                if not self._is_reliable() or self._outage_marker() != initial_marker:
                    self._is_catching_up = True
                    log_message(
                        message_type="watch_given_up",
                        kind=self._kind,
                        revision=revision,
                        store_lost=self._health.is_lost,
                    )
                    return None
            return watch.result()
        finally:
            watch.cancel()

    @callback
    def _is_reliable(self) -> bool:
        """Return whether a hanging watch would be noticed."""
        return not self._health.is_lost and self._neighbours.is_confirmed()

    @callback
    def _outage_marker(self) -> tuple[float | None, int]:
        """Return a value that changes when the store is lost or recovers."""
        return self._health.recovered_at, self._neighbours.store_reports
