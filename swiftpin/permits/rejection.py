"""Rejection of a permit request."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.permits.permit_request import PermitRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """A request that was removed from the queue without a permit."""

    request: PermitRequest
    retry_after: float
    """Seconds after which the caller should try again."""

    is_rate_limited: bool = False
    """Whether a rate limit named by the target is the reason."""
