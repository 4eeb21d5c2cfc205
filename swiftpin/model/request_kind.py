"""Kinds of requests by whether they may be retried."""

from __future__ import annotations

from enum import Enum


class RequestKind(Enum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    ONCE = "once"
    """Must run at most once per attempt of the caller."""
