"""A request's place at a target."""

from __future__ import annotations

from types import TracebackType
from typing import Protocol, Self

from swiftpin.core import callback
from swiftpin.dispatch.queued_request import QueuedRequest


class SlotOwner(Protocol):
    """What a slot asks of the queue that gives it."""

    @callback
    def acquire_at_once(self, slot: Slot) -> bool:
        """Give the slot if nothing stands before it; return whether it was given."""

    async def async_acquire(self, slot: Slot) -> None:
        """Wait until the slot is given; raise `NotRunError` when it is refused."""

    @callback
    def release_work(self, slot: Slot, now: float) -> None:
        """Let the next request work."""

    @callback
    def release(self, slot: Slot) -> None:
        """Take the slot back."""


class Slot:
    """Context manager that holds one slot and one connection of a target.

    `asked_at` and `granted_at` are monotonic seconds.
    """

    __slots__ = (
        "_owner",
        "asked_at",
        "granted_at",
        "measured",
        "request",
        "working",
    )

    def __init__(self, owner: SlotOwner, request: QueuedRequest, now: float) -> None:
        self._owner = owner
        self.request = request
        self.asked_at = now
        self.granted_at: float | None = None
        self.working = False
        self.measured = True

    @property
    def waited(self) -> float:
        """Return the seconds spent in the queue."""
        return 0.0 if self.granted_at is None else self.granted_at - self.asked_at

    @callback
    def work_done(self, now: float) -> None:
        """Free the slot while the answer's body is still being read.

        The connection stays counted until the context ends.
        """
        self._owner.release_work(self, now)

    @callback
    def ignore_time(self) -> None:
        """Keep this request out of the estimate, since the target did not run it."""
        self.measured = False

    @callback
    def take_at_once(self) -> bool:
        """Take the slot if it is free; raise `NotRunError` when it is refused.

        Whoever took it, at once or by `async_take`, calls `leave` in the end. Most
        requests find a free slot, and a context manager that awaits costs each of them
        three coroutines.
        """
        return self._owner.acquire_at_once(self)

    async def async_take(self) -> None:
        """Wait for a slot that was not free; raise `NotRunError` when refused."""
        await self._owner.async_acquire(self)

    @callback
    def leave(self) -> None:
        """Give the slot and its connection back."""
        self._owner.release(self)

    async def __aenter__(self) -> Self:
        if not self.take_at_once():
            await self.async_take()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.leave()
