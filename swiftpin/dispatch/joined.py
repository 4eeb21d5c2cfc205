"""A resend of a request that is running."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from swiftpin.dispatch.outcome import Outcome


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class Joined:
    """The request is running; `async_outcome` waits for its end."""

    ended: asyncio.Future[Outcome]

    async def async_outcome(self) -> Outcome:
        """Return the outcome; after `NotRun` the receiver may begin again.

        The receiver bounds the wait by its own deadline.
        """
        # Several resends may wait here. Without the shield the first one that is
        # cancelled would cancel the future, and so the others and the finish.
        return await asyncio.shield(self.ended)
