"""Decision on a permit request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitDecision:
    """A permit to send one request to one target, or a rejection."""

    target: str
    """Target to send to; empty when rejected."""

    retry_after: float = 0.0
    """Seconds after which a rejected request should be tried again."""

    is_rate_limited: bool = False
    """Whether the decision took a rate limit named by the target into account."""

    is_suspected: bool = False
    """Whether it was rejected since targets may have ended under the request."""

    waited: float = 0.0
    """Seconds from the arrival of the request at the issuer until the decision."""

    @property
    def is_granted(self) -> bool:
        """Return whether the request may be sent."""
        return bool(self.target)
