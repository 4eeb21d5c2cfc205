"""A way of recording work that must not repeat."""

from __future__ import annotations

from typing import Protocol

from swiftpin.dispatch.answered import Answered


class Recording(Protocol):
    """What every way offers; the caller sends the request in between."""

    async def async_open(self) -> None:
        """Get ready."""

    async def async_begin(self, key: str) -> bool:
        """Return once the request is on record; False when it was refused."""

    async def async_finish(self, key: str, answer: Answered) -> None:
        """Return once the outcome is on record."""

    async def async_close(self) -> None:
        """Stop."""
