"""Following of all objects of one kind."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import StoreError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_client import StoreClient
from swiftpin.store_errors import HistoryGoneError

WATCH_WAIT: Final = 15.0
"""Seconds that one watch waits. Each further call is paid for. A connection can fall
silent without a reset; then neighbours that know more show it within a second."""

CHANGE_PAUSE: Final = 0.12
"""Seconds after a change before the next watch: changes come in bursts, and each call
is paid for by every instance. Far below any bound for acting on a change."""

FIRST_PAUSE: Final = 0.1
LAST_PAUSE: Final = 1.0
"""Seconds between tries while the store is away, doubled from the first to the last:
a return is noticed within a second and 88 instances make under 100 calls a second."""


SKIP_PAUSE: Final = 0.3
"""Seconds between two looks whether others still tell the changes."""


@callback
def _never() -> bool:
    """Return False."""
    return False


class Follower(Protocol):
    """Takes what was read; called in the event loop."""

    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take all objects as they were at a revision."""

    def adopt_change(self, changed: PlatformObject, revision: int, now: float) -> None:
        """Take a changed or removed object."""


class StoreFollower:
    """Lists a kind once, then watches it, and lists again when history is gone."""

    def __init__(
        self,
        kind: str,
        client: StoreClient,
        follower: Follower,
        health: StoreHealth,
        *,
        may_skip_watch: Callable[[], bool] = _never,
    ) -> None:
        self._may_skip_watch = may_skip_watch
        self._kind = kind
        self._client = client
        self._follower = follower
        self._health = health
        self._revision: int | None = None
        self._relist = asyncio.Event()

    @callback
    def list_again(self) -> None:
        """Distrust the watch under way: neighbours know something newer."""
        self._relist.set()

    async def async_run(self) -> None:
        """Follow until cancelled."""
        pause = FIRST_PAUSE
        while True:
            if self._may_skip_watch():
                await asyncio.sleep(SKIP_PAUSE)
                continue
            try:
                await self._async_step()
            except HistoryGoneError:
                self._revision = None
            except StoreError as err:
                self._health.note_failure(str(err), suspend_aware_now())
                await asyncio.sleep(pause)
                pause = min(pause * 2, LAST_PAUSE)
            else:
                pause = FIRST_PAUSE
                await asyncio.sleep(CHANGE_PAUSE)

    async def _async_step(self) -> None:
        """Make one call and hand on what it brought."""
        if self._revision is None or self._relist.is_set():
            self._relist.clear()
            listed = await self._client.async_list(self._kind)
            now = suspend_aware_now()
            self._health.note_answer(now)
            self._follower.adopt_list(listed.objects, listed.revision, now)
            self._revision = listed.revision
            return
        watch = asyncio.ensure_future(
            self._client.async_watch(self._kind, self._revision, WATCH_WAIT)
        )
        relist = asyncio.ensure_future(self._relist.wait())
        try:
            await asyncio.wait((watch, relist), return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                return
            changes = watch.result()
        finally:
            watch.cancel()
            relist.cancel()
        now = suspend_aware_now()
        self._health.note_answer(now)
        for changed in changes.objects:
            self._follower.adopt_change(changed, changes.revision, now)
        # An answer from behind must not turn the watch back.
        self._revision = max(self._revision, changes.revision)
