"""Detection of poison requests, which crash the targets that run them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.poison.fingerprint import format_fingerprint

MIN_CRASHED_TARGETS: Final = 3
"""Number of different targets that must fail to answer a request before it is
quarantined. Answers get lost for other reasons too, but rarely those of the same
request at several targets in a row."""

SUSPECT_LIFETIME: Final = 60.0
"""Seconds for which a target that did not answer counts against a request."""

QUARANTINE_TIME: Final = 60.0
"""Seconds for which a poison request is refused; callers keep resending it."""

MAX_SUSPECTS: Final = 10_000
"""Number of suspected requests at which expired ones are dropped."""


class PoisonDetector:
    """Counts the targets that did not answer a request, and quarantines requests.

    A resend may arrive at any instance, so the leader, which assigns the keys, counts
    for the fleet and sends each quarantine to all instances. Otherwise a single request
    could crash one target after the other, each for seconds and with all its keys.
    """

    def __init__(self) -> None:
        self.on_suspect: Callable[[int, str, float], None] = _ignore
        self.on_quarantine: Callable[[int], None] = _ignore_quarantine
        self._targets_by_fingerprint: dict[int, dict[str, float]] = {}
        self._quarantined_until_by_fingerprint: dict[int, float] = {}

    @callback
    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether requests with the fingerprint must be refused."""
        return now < self._quarantined_until_by_fingerprint.get(fingerprint, 0.0)

    @callback
    def quarantined_fingerprints(self, now: float) -> list[int]:
        """Return the fingerprints of the quarantined requests."""
        return [
            fingerprint
            for fingerprint in self._quarantined_until_by_fingerprint
            if self.is_quarantined(fingerprint, now)
        ]

    @callback
    def quarantine(self, fingerprint: int, now: float) -> None:
        """Quarantine a request for `QUARANTINE_TIME`."""
        if not self.is_quarantined(fingerprint, now):
            log_message(
                message_type="request_quarantined",
                level="warning",
                fingerprint=format_fingerprint(fingerprint),
                targets=sorted(self._targets_by_fingerprint.get(fingerprint, {})),
            )
        self._quarantined_until_by_fingerprint[fingerprint] = now + QUARANTINE_TIME

    @callback
    def count_suspects(self) -> int:
        """Return the number of requests that may have crashed a target."""
        return len(self._targets_by_fingerprint)

    @callback
    def record_suspect(self, fingerprint: int, target: str, now: float) -> None:
        """Count a target that did not answer a request, and quarantine if needed."""
        if len(self._targets_by_fingerprint) >= MAX_SUSPECTS:
            self._drop_expired_suspects(now)
        targets = self._targets_by_fingerprint.setdefault(fingerprint, {})
        if target not in targets:
            log_message(
                message_type="request_suspected",
                fingerprint=format_fingerprint(fingerprint),
                target=target,
            )
        targets[target] = now
        recent = [at for at in targets.values() if now - at < SUSPECT_LIFETIME]
        if len(recent) >= MIN_CRASHED_TARGETS and not self.is_quarantined(
            fingerprint, now
        ):
            self.quarantine(fingerprint, now)
            self.on_quarantine(fingerprint)

    @callback
    def _drop_expired_suspects(self, now: float) -> None:
        """Drop requests without a recent suspect target."""
        self._targets_by_fingerprint = {
            fingerprint: targets
            for fingerprint, targets in self._targets_by_fingerprint.items()
            if now - max(targets.values()) < SUSPECT_LIFETIME
        }


@callback
def _ignore(fingerprint: int, target: str, now: float) -> None:
    """Do nothing."""


@callback
def _ignore_quarantine(fingerprint: int) -> None:
    """Do nothing."""
