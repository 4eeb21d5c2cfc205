"""Targets that a caller's copies of a request may go to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from swiftpin.permits.request_copies import RequestCopy
from swiftpin.poison.suspect_table import MAX_UNPROVEN_TARGETS


@dataclass(frozen=True, kw_only=True, slots=True)
class CopyTargets:
    """What is known of the targets of a request when one of its copies is reviewed."""

    passed: Sequence[RequestCopy]
    """Copies without an answer that count against the caller."""

    own_targets: frozenset[str]
    """Targets that the caller's copies are at, or that may have ended under them."""

    unproven: frozenset[str]
    """Targets that may have ended under the request."""

    proven: frozenset[str]
    """Targets that have answered it since."""

    occupied: frozenset[str]
    """Targets that have copies of other callers in doubt."""

    takes_turns: bool
    """Whether the caller's copies are kept from the occupied targets."""

    @property
    def used(self) -> frozenset[str]:
        """Return the targets that have copies without an answer."""
        return frozenset(it.target for it in self.passed if it.target)

    @property
    def known(self) -> frozenset[str]:
        """Return the targets that count against the request."""
        return self.unproven | self.used - self.proven

    @property
    def count(self) -> int:
        """Return the number of targets that count, and of those not known yet."""
        return len(self.known) + sum(not it.target for it in self.passed)

    @property
    def is_last_left(self) -> bool:
        """Return whether a suspected request may get one target more at most."""
        return bool(self.unproven) and self.count == MAX_UNPROVEN_TARGETS - 1

    @property
    def leaves_last_to_another(self) -> bool:
        """Return whether the last target is left to a caller that has had none.

        Else callers that send many copies at once would have all targets of a request
        before another one could be answered.
        """
        return (
            bool(self.own_targets and self.occupied)
            and self.count >= MAX_UNPROVEN_TARGETS - 1
        )
