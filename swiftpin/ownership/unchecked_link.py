"""A holder's link to a target that does not check grants."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
import contextlib
import math

from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import TargetError
from swiftpin.ownership.lease import Lease
from swiftpin.ownership.rules import lapsed
from swiftpin.ownership.target_state import TargetState
from swiftpin.ownership.timing import Timing
from swiftpin.targets.client import TargetClient


class UncheckedLink:
    """Watches one target; its grants exist only here, at the holder.

    Only the holder sends to such a target and each request's deadline ends before the
    holder's confirmation, so `limit` (our time, seconds) bounds what it may still run.
    The attributes mean the same as those of `TargetLink`.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        timing: Timing,
        may_grant: Callable[[float], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.spec = client.spec
        self.state = TargetState.NEW
        self.limit = -math.inf
        self.acknowledged_at = -math.inf
        self.granted_terms_by_id: dict[int, int] = {}
        self.boot_id: str | None = None
        self.fenced_in_term = False
        self.blocked_until = -math.inf
        self._client = client
        self._timing = timing
        self._may_grant = may_grant
        self._on_change = on_change
        self.answered_at = monotonic_now()
        self._task: asyncio.Task[None] | None = None

    @callback
    def start(self) -> None:
        """Begin to probe."""
        name = f"unchecked-link-{self.spec.id}"
        self._task = asyncio.create_task(self._async_run(), name=name)

    async def async_stop(self) -> None:
        """End the probing."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None

    @callback
    def stop_soon(self) -> None:
        """Begin to end the probing without waiting for it."""
        if self._task is not None:
            self._task.cancel()

    @property
    def renewed_terms_by_id(self) -> Mapping[int, int]:
        """Return the slices routed to the target, which needs no renewal."""
        return self.granted_terms_by_id

    @callback
    def nudge(self) -> None:
        """Have nothing to renew."""

    @callback
    def begin_term(self, lease: Lease) -> None:
        """Nothing to tell: the target does not know terms."""

    @callback
    def may_hold(self, slice_id: int, now: float) -> bool:
        """Return whether requests for the slice are routed to the target."""
        return slice_id in self.granted_terms_by_id

    @callback
    def possible_slices(self, now: float) -> frozenset[int]:
        """Return the slices that are routed to the target."""
        return frozenset(self.granted_terms_by_id)

    @callback
    def forget_lapsed(self) -> None:
        """Route nothing to the target any more."""
        self.granted_terms_by_id.clear()

    async def async_grant(self, terms_by_id: Mapping[int, int]) -> bool:
        """Route these slices to the target from now on."""
        if not self._may_grant(monotonic_now()):
            return False
        self.granted_terms_by_id.update(terms_by_id)
        return True

    async def async_revoke(self, slices: frozenset[int], wait: float) -> bool:
        """Stop routing, then wait until what was sent must have ended."""
        for slice_id in slices:
            self.granted_terms_by_id.pop(slice_id, None)
        limit = self._timing.holder_limit
        await asyncio.sleep(limit + self._timing.slack(limit))
        return True

    async def _async_run(self) -> None:
        """Probe until stopped."""
        while True:
            try:
                status = await self._client.async_status()
                self.boot_id = status.boot_id
                answered = True
            except TargetError:
                answered = False
            self._judge(answered, monotonic_now())
            await asyncio.sleep(self._timing.grant_interval)

    @callback
    def _judge(self, answered: bool, now: float) -> None:
        """Set the state after one probe."""
        before = self.state
        if answered:
            self.answered_at = now
            self.state = TargetState.LIVE
            self.limit = now + self._timing.holder_limit
        elif before is TargetState.LIVE:
            self.state = TargetState.SUSPECT
            self.limit = now + self._timing.holder_limit
        elif before is not TargetState.LOST and lapsed(self.limit, self._timing, now):
            self.granted_terms_by_id.clear()
            self.state = TargetState.LOST
        if self.state is not before:
            self._on_change()
