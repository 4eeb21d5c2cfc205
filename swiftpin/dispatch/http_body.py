"""The body of a request on its way to a target or another instance."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol


class HttpBody(Protocol):
    """A body that is either wholly in memory or read piece by piece.

    `whole` is the body when it is in memory; only such a body can be sent more than
    once. `length` is in bytes, None when the sender did not state it.
    """

    @property
    def whole(self) -> bytes | None:
        """Return the body, None when it must be read piece by piece."""

    @property
    def length(self) -> int | None:
        """Return the body's length in bytes, None when it is not known."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Return the pieces; they can be read once only.

        Reading raises `RequestError` when the body breaks off or grows too large.
        """
