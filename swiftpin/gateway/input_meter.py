"""Measures what a client has sent of a request."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

HEADER_LINE_COST: Final = 512
"""Bytes of memory that a parsed header line takes beside its text."""

MAX_FRAMING: Final = 64 * 1024
"""Bytes that the chunks of a body may take beside its data, however short it is."""

MAX_FRAMING_RATIO: Final = 8
"""Bytes that the chunks of a body may take beside each byte of its data."""


class InputMeter:
    """Counts the bytes of an incomplete head, or those of a body in chunks.

    The parser bounds single lines and the number of headers. It doesn't bound blank
    lines before a request, or extensions and sizes of chunks.
    """

    def __init__(self) -> None:
        self.head_length = 0
        """Bytes of the head that is incomplete."""

        self._head_lines = 0
        self._framing = 0
        self._framing_without_data = 0
        self._body_length = 0

    @property
    def head_cost(self) -> int:
        """Return the bytes of memory that the incomplete head takes."""
        return self.head_length + self._head_lines * HEADER_LINE_COST

    @callback
    def add_head(self, data: bytes) -> None:
        """Count bytes with which the head isn't complete yet."""
        self.head_length += len(data)
        # Blank lines before a request are not kept.
        kept = data if self._head_lines else data.lstrip(b"\r\n")
        self._head_lines += kept.count(b"\n")

    @callback
    def end_head(self) -> None:
        """Count from now on the body that follows a complete head."""
        self.head_length = 0
        self._head_lines = 0
        self._framing = 0
        self._framing_without_data = 0
        self._body_length = 0

    @callback
    def is_body_excessive(self, length: int, body_length: int, limit: int) -> bool:
        """Count bytes of a body whose data is now `body_length` bytes long.

        Return whether they hold too little data. `limit` bounds the bytes that may
        arrive without any.
        """
        grown = body_length - self._body_length
        self._body_length = body_length
        self._framing += max(length - grown, 0)
        self._framing_without_data = 0 if grown else self._framing_without_data + length
        allowed = MAX_FRAMING + MAX_FRAMING_RATIO * body_length
        return self._framing > allowed or self._framing_without_data > limit
