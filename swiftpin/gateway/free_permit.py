"""Permission to send to targets that own no keys."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.exceptions import DeadlineTooShortError
from swiftpin.gateway.incoming_request import IncomingRequest


class FreePermit:
    """Lets a request go while it has time left."""

    __slots__ = ("_deadline",)

    def __init__(self, incoming: IncomingRequest) -> None:
        self._deadline = incoming.deadline

    @callback
    def deadline(self, now: float) -> float:
        """Return the caller's deadline."""
        return self._deadline

    @callback
    def check(self, now: float) -> None:
        """Raise when the deadline has passed."""
        if now >= self._deadline:
            raise DeadlineTooShortError(
                "the deadline passed before the request was sent"
            )
