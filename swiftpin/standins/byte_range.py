"""Part of a bundle that a request asks for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

UNIT: Final = "bytes="


@dataclass(frozen=True, kw_only=True, slots=True)
class ByteRange:
    """Bytes `first` to `end` - 1 of `size`."""

    first: int
    end: int
    size: int

    @property
    def length(self) -> int:
        """Return the number of bytes."""
        return self.end - self.first

    @property
    def content_range(self) -> str:
        """Return the value of the header `Content-Range`."""
        return f"bytes {self.first}-{self.end - 1}/{self.size}"


def parse_range(header: str | None, size: int) -> ByteRange | None:
    """Return the part asked for, None when it cannot be satisfied.

    A header of another unit, with several parts or malformed is left out of account.
    """
    whole = ByteRange(first=0, end=size, size=size)
    if header is None or not header.startswith(UNIT):
        return whole
    first_text, dash, last_text = header.removeprefix(UNIT).strip().partition("-")
    if not dash or not (first_text + last_text).isdecimal():
        return whole
    if not first_text:
        return _part(max(0, size - int(last_text)), size, size)
    end = min(size, int(last_text) + 1) if last_text else size
    return _part(int(first_text), end, size)


def _part(first: int, end: int, size: int) -> ByteRange | None:
    """Return the part, None if it is empty."""
    if first >= end:
        return None
    return ByteRange(first=first, end=end, size=size)
