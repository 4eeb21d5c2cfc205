"""Collects what of a streamed answer is recorded."""

from __future__ import annotations

from xxhash import xxh3_128

from swiftpin.core import callback
from swiftpin.dispatch.answered import Answered


class AnswerRecorder:
    """Keeps a body up to a limit in bytes, and its digest whatever its length."""

    __slots__ = ("_digest", "_length", "_limit", "_parts")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._length = 0
        self._parts: list[bytes] = []
        self._digest = xxh3_128()

    @callback
    def feed(self, part: bytes) -> None:
        """Take the next part of the body."""
        self._digest.update(part)
        self._length += len(part)
        if self._length <= self._limit:
            self._parts.append(part)
        else:
            self._parts.clear()

    @callback
    def answered(self, status: int, headers: tuple[tuple[str, str], ...]) -> Answered:
        """Return the outcome; the body must have ended whole."""
        whole = self._length <= self._limit
        return Answered(
            status=status,
            headers=headers,
            body=b"".join(self._parts) if whole else None,
            body_digest=self._digest.hexdigest(),
            body_length=self._length,
        )
