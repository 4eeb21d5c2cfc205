"""Following of all objects of one kind."""

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
"""Seconds that one watch waits. Each further call is paid for. A connection can fall
silent without a reset; the lease's holder, who knows more, shows it within a second,
and where it is not heard the watch waits for `UNCONFIRMED_WAIT` only."""

UNCONFIRMED_WAIT: Final = 0.8
UNCONFIRMED_GRACE: Final = 0.6
"""Seconds that a watch waits, and beyond that until its connection counts as silent,
at the lease's holder and wherever that one does not confirm what is known: a change is
then known 1.4 s after it, of 2 s for which a leaving target takes requests. The store
takes 0.4 s when it is slowed a hundredfold. At one instance that is two calls a second,
one for each kind."""

LOOK_PAUSE: Final = 0.25
"""Seconds between two looks whether a watch under way is still to be relied on."""

CHANGE_PAUSE: Final = 0.12
"""Seconds after a change before the next watch: changes come in bursts, and each call
is paid for by every instance. Far below any bound for acting on a change."""

FIRST_PAUSE: Final = 0.1
LAST_PAUSE: Final = 1.0
"""Seconds between tries while the store is away, doubled from the first to the last:
a return is noticed within a second and 88 instances make under 100 calls a second."""


SKIP_PAUSE: Final = 0.3
"""Seconds between two looks whether others still tell the changes."""


class Follower(Protocol):
    """Takes what was read; called in the event loop."""

    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take all objects as they were at a revision."""

    def adopt_changes(
        self,
        objects: tuple[PlatformObject, ...],
        revision: int,
        now: float,
        *,
        is_catching_up: bool = False,
    ) -> None:
        """Take what changed up to a revision, perhaps nothing.

        `is_catching_up` tells that the changes may have been there for a while.
        """

    def resume_revision(self, revision: int) -> int | None:
        """Return the revision to go on from when others told the changes meanwhile.

        `revision` is that of the last answer here; None asks for a new list.
        """


class Neighbours(Protocol):
    """What other instances say of the store."""

    @property
    def store_reports(self) -> int:
        """How often one of them said that it lost the store, or has it again."""

    def is_confirmed(self) -> bool:
        """Return whether one that hears the store would tell of a change."""


class Duty(Protocol):
    """Tells whether others watch the store for this instance."""

    def is_skipped(self) -> bool:
        """Return whether others tell this instance of changes."""

    def max_retry_delay(self, min_delay: float) -> float:
        """Return the seconds between two tries while the store does not answer."""


class NoNeighbours:
    """Nobody who says anything."""

    store_reports = 0

    @callback
    def is_confirmed(self) -> bool:
        """Return False."""
        return False


class AlwaysWatch:
    """The duty of an instance that nobody tells of changes."""

    @callback
    def is_skipped(self) -> bool:
        """Return False."""
        return False

    @callback
    def max_retry_delay(self, min_delay: float) -> float:
        """Return the usual pause."""
        return min_delay


class StoreFollower:
    """Lists a kind once, then watches it, and lists again when history is gone.

    A watch whose connection has fallen silent looks like one that sees no change. So a
    long one is left open only while another would tell of a change. One that nobody
    confirms any more, or that began before this instance or a neighbour lost the store,
    is made anew: its answer may have been lost with the store.
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
        """Whether others told the changes since the last answer."""

    async def async_run(self) -> None:
        """Follow until cancelled."""
        pause = FIRST_PAUSE
        while True:
            if self._skips_watch():
                self._is_catching_up = True
                await asyncio.sleep(SKIP_PAUSE)
                continue
            try:
                await self._async_step()
            except HistoryGoneError:
                self._revision = None
            except StoreError as err:
                self._is_catching_up = True
                self._health.record_failure(str(err), suspend_aware_now())
                await asyncio.sleep(pause)
                pause = min(pause * 2, self._duty.max_retry_delay(LAST_PAUSE))
            else:
                pause = FIRST_PAUSE
                await asyncio.sleep(CHANGE_PAUSE)

    @callback
    def _skips_watch(self) -> bool:
        """Return whether others tell the changes at the moment."""
        if self._revision is None or not self._duty.is_skipped():
            return False
        self._was_skipped = True
        return True

    async def _async_step(self) -> None:
        """Make one call and hand on what it brought."""
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
        # An answer from behind must not turn the watch back.
        self._revision = max(self._revision, changes.revision)

    async def _async_watch(self, revision: int) -> ObjectChanges | None:
        """Return the changes after a revision, None when the watch was given up."""
        is_long = self._is_reliable() and not self._is_catching_up
        began_with = self._outages()
        watch = asyncio.ensure_future(
            self._client.async_watch(self._kind, revision, WATCH_WAIT)
            if is_long
            else self._client.async_watch(
                self._kind, revision, UNCONFIRMED_WAIT, grace=UNCONFIRMED_GRACE
            )
        )
        try:
            while not watch.done():
                await asyncio.wait((watch,), timeout=LOOK_PAUSE)
                if watch.done() or not is_long:
                    continue
                if not self._is_reliable() or self._outages() != began_with:
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
        """Return whether a watch that falls silent would be noticed."""
        return not self._health.is_lost and self._neighbours.is_confirmed()

    @callback
    def _outages(self) -> tuple[float | None, int]:
        """Return a value that changes when the store is lost or comes back."""
        return self._health.recovered_at, self._neighbours.store_reports
