"""Last check before a request is written to its target."""

from __future__ import annotations

import math

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import SendNotAllowedError, TargetBackoffError
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.permits.rate_reports import RateReports
from swiftpin.poison.fingerprint import format_fingerprint
from swiftpin.poison.suspect_table import SuspectTable


class SendPolicy:
    """Decides whether a target may get a request at the moment of its write.

    The request may have waited for a slot, a connection or a relay since the target was
    chosen. Times are suspend-aware.
    """

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        rate_reports: RateReports,
        backoffs: TargetBackoffs,
        suspects: SuspectTable,
    ) -> None:
        self._directory = directory
        self._suspects = suspects
        self._rate_reports = rate_reports
        self._backoffs = backoffs

    @callback
    def check_send_allowed(
        self,
        target_id: str,
        now: float,
        permit_until: float | None,
        fingerprint: int = 0,
        connected_at: float = -math.inf,
    ) -> None:
        """Raise `SendNotAllowedError` if a request must not be sent.

        `permit_until` is the time until which its permit is valid for a target with a
        rate limit, None if the permit took no limit into account. `fingerprint` is 0
        if it is not known. `connected_at` is when the connection was opened, if it is
        one to the target itself.
        """
        if not self._directory.may_send(target_id, now):
            raise SendNotAllowedError(f"{target_id} has left")
        remaining = self._backoffs.remaining(target_id, now)
        if remaining:
            raise TargetBackoffError(
                f"{target_id} asked not to be called for another {remaining:.1f} s"
            )
        self._check_suspicion(target_id, now, fingerprint, connected_at)
        if target_id not in self._rate_reports.limited_targets:
            return
        if permit_until is None or now > permit_until:
            raise SendNotAllowedError(
                f"{target_id} has a rate limit and the permit has expired"
            )

    @callback
    def _check_suspicion(
        self, target_id: str, now: float, fingerprint: int, connected_at: float
    ) -> None:
        """Raise `SendNotAllowedError` if another target could end under a request."""
        if self._suspects.is_quarantined(fingerprint, now):
            raise SendNotAllowedError(
                f"request {format_fingerprint(fingerprint)} is quarantined"
            )
        if not self._suspects.may_send(fingerprint, target_id, now, connected_at):
            raise SendNotAllowedError(
                f"request {format_fingerprint(fingerprint)} may have ended "
                f"{len(self._suspects.unproven_targets(fingerprint))} targets"
            )
