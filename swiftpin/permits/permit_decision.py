"""Answer to a request for a slot."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitDecision:
    """A permit for one request to one target, or a refusal."""

    target: str
    """Target to send to; empty when refused."""

    retry_after: float = 0.0
    """Seconds after which a refused request has a chance."""

    @property
    def is_granted(self) -> bool:
        """Return whether the request may be sent."""
        return bool(self.target)
