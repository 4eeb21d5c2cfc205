"""Why a target refuses a request."""

from __future__ import annotations

from enum import StrEnum


class Refusal(StrEnum):
    """Value of the header `Target-Refusal`; a refused request was not executed."""

    NOT_GRANTED = "not-granted"
    STALE_TERM = "stale-term"
    LAPSED = "lapsed"
    DRAINING = "draining"
    SHED = "shed"
    DEADLINE = "deadline"

    @property
    def status(self) -> int:
        """Return the HTTP status of the refusal."""
        match self:
            case Refusal.DRAINING | Refusal.SHED:
                return 503
            case Refusal.DEADLINE:
                return 504
        return 409
