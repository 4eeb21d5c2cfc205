"""Turns of callers whose copies of one request may end targets."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.permits.request_copies import RequestCopies, RequestCopy
from swiftpin.poison.suspect_table import MAX_UNPROVEN_TARGETS, SuspectTable


class CallerTurns:
    """Keeps callers of a suspected request apart until answers tell which is sound.

    The end of a target counts against all callers whose copies were there. So a target
    gets the copies of one caller at a time, first of those under which the fewest
    targets may have ended: one that is sound is answered, and is told apart by that.
    """

    def __init__(self, suspects: SuspectTable) -> None:
        self._suspects = suspects

    @callback
    def is_told_apart(self, copies: RequestCopies, fingerprint: int) -> bool:
        """Return whether answers tell a caller from the others."""
        return bool(
            copies.count_answers(fingerprint)
        ) or self._suspects.is_judged_alone(fingerprint)

    @callback
    def is_in_doubt(self, copies: RequestCopies, fingerprint: int) -> bool:
        """Return whether a caller's copies are kept from those of others."""
        return self._suspects.is_group_suspected(
            fingerprint
        ) and not self.is_told_apart(copies, fingerprint)

    @callback
    def is_first(self, copy: RequestCopy, copies: RequestCopies) -> bool:
        """Return whether no other caller that waits comes before that of a copy."""
        fingerprint = copy.request.fingerprint
        rank = self._rank(fingerprint)
        waiting = {it.request.fingerprint for it in copies.held} - {fingerprint}
        return not any(
            self._rank(other) < rank and not self.is_told_apart(copies, other)
            for other in waiting
        )

    @callback
    def occupied_targets(
        self, copies: RequestCopies, fingerprint: int
    ) -> frozenset[str]:
        """Return the targets that have copies of other callers in doubt."""
        return frozenset(
            it.target
            for it in copies.passed
            if it.target
            and it.request.fingerprint != fingerprint
            and not self.is_told_apart(copies, it.request.fingerprint)
        )

    @callback
    def in_order(self, copies: RequestCopies) -> list[RequestCopy]:
        """Return the held copies, those of the callers that come first at the start."""
        return sorted(copies.held, key=lambda it: self._rank(it.request.fingerprint))

    @callback
    def _rank(self, fingerprint: int) -> int:
        """Return the number of targets that may have ended under a caller's copies."""
        return min(
            len(self._suspects.own_unproven_targets(fingerprint)), MAX_UNPROVEN_TARGETS
        )
