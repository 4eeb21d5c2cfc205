"""What the entry's load needs of a way."""

from __future__ import annotations

from typing import Protocol


class HopSender(Protocol):
    """Forwards requests to one holder."""

    async def async_send(self, body: bytes, answer_bytes: int) -> int:
        """Forward one request; return the bytes of its answer's body."""

    async def async_close(self) -> None:
        """Close the connections."""
