"""What may be repeated."""

from __future__ import annotations

from enum import Enum


class RequestKind(Enum):
    """Kind of a route's requests."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    ONCE = "once"
    """Must run at most once for each attempt of the caller."""
