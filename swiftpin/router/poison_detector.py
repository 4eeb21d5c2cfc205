"""Requests that seem to crash the targets that run them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from eliot import log_message
from xxhash import xxh3_64_intdigest

from swiftpin.core import callback

MIN_CRASHED_TARGETS: Final = 3
"""Different targets that a request must have silenced to be held for poison. Answers
get lost for other reasons too, but not those of one request at one target after the
other."""

SUSPECT_LIFETIME: Final = 60.0
"""Seconds for which a silenced target is held against a request."""

QUARANTINE_TIME: Final = 60.0
"""Seconds for which such a request is refused: callers never give up by themselves."""

MAX_SUSPECTS: Final = 10_000


def compute_fingerprint(host: str, path: str, key: int | None, body: bytes) -> int:
    """Return what is equal for every resend of a request, whatever its id."""
    return xxh3_64_intdigest(b"\0".join((f"{host}{path}\0{key}".encode(), body)))


class PoisonDetector:
    """Counts silenced targets by request, and tells which requests to refuse.

    A resend may come in at any instance, so the counts of all are kept where keys are
    assigned, and the verdict goes to everyone. Without it one request takes a target
    after the other down, each for some seconds and with all the keys it has.
    """

    def __init__(self) -> None:
        self.on_suspect: Callable[[int, str, float], None] = _ignore
        self.on_quarantine: Callable[[int], None] = _ignore_quarantine
        self._targets_by_fingerprint: dict[int, dict[str, float]] = {}
        self._until_by_fingerprint: dict[int, float] = {}

    @callback
    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is to be refused."""
        return now < self._until_by_fingerprint.get(fingerprint, 0.0)

    @callback
    def quarantined_fingerprints(self, now: float) -> list[int]:
        """Return the requests to refuse, by their fingerprints."""
        return [
            fingerprint
            for fingerprint in self._until_by_fingerprint
            if self.is_quarantined(fingerprint, now)
        ]

    @callback
    def quarantine(self, fingerprint: int, now: float) -> None:
        """Refuse a request for a while."""
        if not self.is_quarantined(fingerprint, now):
            log_message(
                message_type="request_quarantined",
                level="warning",
                fingerprint=f"{fingerprint:016x}",
            )
        self._until_by_fingerprint[fingerprint] = now + QUARANTINE_TIME

    @callback
    def record_suspect(self, fingerprint: int, target: str, now: float) -> None:
        """Count a target that gave no answer to a request."""
        if len(self._targets_by_fingerprint) >= MAX_SUSPECTS:
            self._drop_expired_suspects(now)
        targets = self._targets_by_fingerprint.setdefault(fingerprint, {})
        targets[target] = now
        recent = [at for at in targets.values() if now - at < SUSPECT_LIFETIME]
        if len(recent) >= MIN_CRASHED_TARGETS and not self.is_quarantined(
            fingerprint, now
        ):
            self.quarantine(fingerprint, now)
            self.on_quarantine(fingerprint)

    @callback
    def _drop_expired_suspects(self, now: float) -> None:
        """Forget requests that silenced nothing lately."""
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
