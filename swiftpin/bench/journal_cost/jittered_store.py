"""A store client whose writes take as long as the platform's store takes."""

from __future__ import annotations

import asyncio
from random import Random

from aiohttp import ClientSession

from swiftpin.store.client import StoreClient


class JitteredStore(StoreClient):
    """Delays each write by a time drawn evenly from a range in seconds."""

    def __init__(
        self, session: ClientSession, url: str, low: float, high: float, random: Random
    ) -> None:
        super().__init__(session, url)
        self._low = low
        self._high = high
        self._random = random
        self.writes = 0
        self.bytes_written = 0

    async def async_put(
        self, name: str, body: bytes, *, expect: int | None = None
    ) -> int:
        """Write the object and return its new version."""
        self.writes += 1
        self.bytes_written += len(body)
        await asyncio.sleep(self._random.uniform(self._low, self._high))
        return await super().async_put(name, body, expect=expect)
