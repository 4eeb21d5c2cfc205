"""Request body that is held in memory."""

from __future__ import annotations

from collections.abc import AsyncIterator


class BytesBody:
    """Body of a request that the router itself sends; it can be sent repeatedly."""

    __slots__ = ("whole",)

    def __init__(self, whole: bytes) -> None:
        self.whole: bytes | None = whole

    @property
    def length(self) -> int | None:
        """Return the body's length in bytes."""
        return None if self.whole is None else len(self.whole)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as one chunk."""
        if self.whole:
            yield self.whole
