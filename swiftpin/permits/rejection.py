"""A request that won't be served."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.permits.permit_request import PermitRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """A request that left the queue without a permit."""

    request: PermitRequest
    retry_after: float
    """Seconds after which there may be room."""
