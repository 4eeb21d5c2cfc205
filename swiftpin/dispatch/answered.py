"""Outcome of a request that a target answered."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

FIELD_OVERHEAD: Final = 8
"""Bytes that a recorded header costs beside its name and value."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The answer of a target as it is recorded.

    `body` is None when it was above the limit; `body_digest` (hex) and
    `body_length` (bytes) describe the whole body in any case.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    body_digest: str
    body_length: int

    @property
    def size(self) -> int:
        """Return about how many bytes the answer takes."""
        headers = sum(
            len(name) + len(value) + FIELD_OVERHEAD for name, value in self.headers
        )
        return headers + len(self.body or b"") + len(self.body_digest)

    def trimmed(self, limit: int) -> Answered:
        """Return the answer without what exceeds the limit in bytes, body first."""
        if self.size <= limit:
            return self
        without_body = replace(self, body=None)
        if without_body.size <= limit:
            return without_body
        return replace(without_body, headers=())
