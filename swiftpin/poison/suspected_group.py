"""Requests of several callers that differ in nothing else."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

MAX_ANSWERED_CALLERS: Final = 64
"""Maximum number of callers that are remembered to have been answered."""


@dataclass(kw_only=True, slots=True)
class SuspectedGroup:
    """Suspected requests that only their callers tell apart.

    A caller may come from several addresses, which look like several callers.
    """

    fingerprints: set[int] = field(default_factory=set)
    """Those of the suspected ones."""

    answers_by_fingerprint: dict[int, int] = field(default_factory=dict)
    """Numbers of answers since one of them is suspected, of others too."""

    def record_answers(self, fingerprint: int, answers: int) -> None:
        """Record how often a caller was answered."""
        self.answers_by_fingerprint[fingerprint] = answers
        if len(self.answers_by_fingerprint) > MAX_ANSWERED_CALLERS:
            del self.answers_by_fingerprint[next(iter(self.answers_by_fingerprint))]

    def is_judged_alone(self, fingerprint: int, limit: int) -> bool:
        """Return whether a caller is not taken for an address of another one.

        Its own answers show that, and several answers to others, since then the
        request does not end targets for all callers.
        """
        return (
            fingerprint in self.answers_by_fingerprint
            or sum(self.answers_by_fingerprint.values()) >= limit
        )
