"""Permission to send one request to one target."""

from __future__ import annotations

from typing import Protocol


class SendPermit(Protocol):
    """Asked after the request got a slot, and again right before it is written."""

    def deadline(self, now: float) -> float:
        """Return when the target must have ended the request, in monotonic seconds.

        Raises `NotRunError` when the request may not be sent at all.
        """

    def check(self, now: float) -> None:
        """Raise `NotRunError` unless the request may be written at this moment."""
