"""Suspicion that a target ended under a request."""

from __future__ import annotations

from dataclasses import dataclass, field
import math


@dataclass(frozen=True, kw_only=True, slots=True)
class UnansweredSend:
    """A send of a request to a target that nobody got an answer to.

    Times are suspend-aware.
    """

    fingerprint: int
    target: str
    """Id of the target's life."""

    sent_at: float
    """Time before which the request was not sent."""

    settles_at: float
    """Time from which the target, if it still lives, does not work on it any more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnsweredSuspect:
    """A suspected request that a target has run and answered."""

    fingerprint: int
    target: str
    answers: int
    """Number of answers of any target since it is suspected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LifeSign:
    """An answer of a target; times are suspend-aware.

    The process that answered has existed since its connection was opened. An answer on
    a young connection may be that of the target's next life.
    """

    target: str
    """Id of the life that was asked."""

    connected_at: float
    """Time before which the connection was open."""

    asked_at: float
    """Time after which the target answered."""


@dataclass(kw_only=True, slots=True)
class Suspicion:
    """All unanswered sends of a request to one life of a target."""

    sent_at: float
    """Time before which none was sent."""

    settles_at: float
    """Time from which the target works on none of them."""

    recorded_at: float
    """Time at which the first of them was recorded here."""

    has_ended: bool = False
    """Whether the life has ended since."""


@dataclass(kw_only=True, slots=True)
class SuspectedRequest:
    """A request, the targets that may have ended under it, and those that ran it."""

    touched_at: float
    """Time of its last send or resend."""

    suspicions_by_target: dict[str, Suspicion] = field(default_factory=dict)
    """By life id. A life is left out once it has outlived the request."""

    answered_at_by_target: dict[str, float] = field(default_factory=dict)
    """Times of the last answers since it is suspected, the last ones at the end."""

    answers: int = 0
    """Number of answers since it is suspected."""

    @property
    def unproven_targets(self) -> frozenset[str]:
        """Return the lives that may have ended under the request.

        One that has answered it since does not count, unless it has ended after all.
        """
        return frozenset(
            target
            for target, suspicion in self.suspicions_by_target.items()
            if suspicion.has_ended or not self._has_answered_since(target, suspicion)
        )

    @property
    def proven_targets(self) -> frozenset[str]:
        """Return the lives that have answered the request since it is suspected."""
        return frozenset(self.answered_at_by_target) - self.unproven_targets

    @property
    def last_answered_at(self) -> float:
        """Return when the request was last answered since it is suspected."""
        return max(self.answered_at_by_target.values(), default=-math.inf)

    def has_ended_several(self, limit: int, recorded_by: float) -> bool:
        """Return whether several lives ended under it, as was recorded by a time."""
        recorded_at = [
            suspicion.recorded_at
            for suspicion in self.suspicions_by_target.values()
            if suspicion.has_ended
        ]
        return len(recorded_at) >= limit and max(recorded_at) <= recorded_by

    def _has_answered_since(self, target: str, suspicion: Suspicion) -> bool:
        """Return whether a target answered after it was suspected to have ended."""
        answered_at = self.answered_at_by_target.get(target, -math.inf)
        return answered_at >= suspicion.recorded_at
