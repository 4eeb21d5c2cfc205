"""One write of a journal that carries many records."""

from __future__ import annotations

import asyncio


class Commit:
    """A batch; `done` ends with whether the store confirmed the write."""

    __slots__ = ("done",)

    def __init__(self) -> None:
        self.done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def async_wait(self, limit: float) -> bool:
        """Return whether the batch became durable within the limit in seconds.

        False also stands for a write whose outcome is not known.
        """
        # `asyncio.wait` leaves the shared future alone when this caller gives up.
        await asyncio.wait((self.done,), timeout=max(limit, 0.0))
        return self.done.done() and self.done.result()
