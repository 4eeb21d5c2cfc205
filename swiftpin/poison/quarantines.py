"""Requests that are refused since they ended several targets."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

QUARANTINE_TIME: Final = 600.0
"""Seconds since the last resend for which a poison request is refused."""


class Quarantines:
    """Knows how long requests are refused; times are suspend-aware."""

    def __init__(self) -> None:
        self._until_by_fingerprint: dict[int, float] = {}

    def __contains__(self, fingerprint: object) -> bool:
        """Return whether a request is refused, or was until lately."""
        return fingerprint in self._until_by_fingerprint

    @callback
    def is_active(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is refused."""
        return now < self._until_by_fingerprint.get(fingerprint, 0.0)

    @callback
    def active_fingerprints(self, now: float) -> list[int]:
        """Return the fingerprints of the requests that are refused."""
        return [it for it in self._until_by_fingerprint if self.is_active(it, now)]

    @callback
    def renew(self, fingerprint: int, now: float) -> None:
        """Begin or prolong a quarantine."""
        self._until_by_fingerprint[fingerprint] = now + QUARANTINE_TIME

    @callback
    def expire(self, now: float) -> None:
        """Forget quarantines that are over."""
        self._until_by_fingerprint = {
            fingerprint: until
            for fingerprint, until in self._until_by_fingerprint.items()
            if now < until
        }
