"""Requests without an answer, and the targets that they were at."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
import math
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.poison.fingerprint import format_fingerprint, group_of
from swiftpin.poison.quarantines import Quarantines
from swiftpin.poison.suspected_group import SuspectedGroup
from swiftpin.poison.suspicion import (
    AnsweredSuspect,
    LifeSign,
    SuspectedRequest,
    Suspicion,
    UnansweredSend,
)
from swiftpin.poison.target_lives import TargetLives

MAX_UNPROVEN_TARGETS: Final = 3
"""Maximum number of targets that a request may have been at without an answer and
without a sign that they outlived it."""

SUSPECT_LIFETIME: Final = 600.0
"""Seconds since the last send or resend for which a request is remembered, and since
the end of a target for which it counts against a request that others answered since."""

MAX_PROVEN_TARGETS: Final = 64
"""Maximum number of targets that are remembered to have run a suspected request."""

ANSWERS_PER_END: Final = 10
"""Number of answers since a request is suspected that weigh as much as the end of one
target. One that ends a smaller share of the targets that run it counts as sound."""

SILENT_TIME: Final = 10.0
"""Seconds without an answer after which a request is poison if several targets ended
under it."""

REPORT_TIME: Final = 1.0
"""Seconds for which reports of answers may be under way when a target has ended."""

MAX_SUSPECTS: Final = 5_000
"""Maximum number of requests that are remembered."""

EVICTION_SAMPLE: Final = 32
"""Number of oldest requests of which the one with the fewest targets is dropped."""

NO_TARGETS: Final[frozenset[str]] = frozenset()
OUTLIVED: Final = "outlived it"


class SuspectTable:
    """Holds each target against the requests that were at it when it ended.

    A request that crashes targets leaves the same trace as one that was at a crashed
    target by chance: no answer. So each unanswered send counts until that target is
    known to have outlived it. The answer of another target does not show that; it shows
    that this other one may get the request again. Only many answers clear a request,
    since a popular one is at each target that is lost. Times are suspend-aware.
    """

    def __init__(self) -> None:
        self.on_quarantined: Callable[[int], None] = _ignore_fingerprint
        """Called with the fingerprint of each request that is quarantined anew."""

        self._requests: dict[int, SuspectedRequest] = {}
        """By fingerprint, those touched last at the end."""

        self._groups: dict[int, SuspectedGroup] = {}
        """By what the fingerprints have in common."""

        self._fingerprints_by_target: dict[str, set[int]] = {}
        self._quarantines = Quarantines()

    # Records.

    @callback
    def record_unanswered(self, send: UnansweredSend, now: float) -> None:
        """Record a send without an answer."""
        request = self._touch(send.fingerprint, now)
        suspicion = request.suspicions_by_target.get(send.target)
        if suspicion is not None:
            suspicion.sent_at = min(suspicion.sent_at, send.sent_at)
            suspicion.settles_at = max(suspicion.settles_at, send.settles_at)
            return
        request.suspicions_by_target[send.target] = Suspicion(
            sent_at=send.sent_at, settles_at=send.settles_at, recorded_at=now
        )
        fingerprints = self._fingerprints_by_target.setdefault(send.target, set())
        fingerprints.add(send.fingerprint)
        if len(request.suspicions_by_target) > 1:
            log_message(
                message_type="request_suspected",
                fingerprint=format_fingerprint(send.fingerprint),
                targets=sorted(request.suspicions_by_target),
            )

    @callback
    def record_answer(
        self, fingerprint: int, target: str, now: float, *, answers: int | None = None
    ) -> int:
        """Record that a target ran a request; return the number of answers known.

        `answers` is the number that another instance knows of, None if the request was
        answered under a permit of this one. The number is 0 if nobody needs to know
        it. A request that is answered far more often than targets end is sound.
        """
        group = self._groups.get(group_of(fingerprint))
        if group is None:
            return 0
        known = group.answers_by_fingerprint.get(fingerprint, 0)
        known = max(known, known + 1 if answers is None else answers)
        group.record_answers(fingerprint, known)
        request = self._requests.get(fingerprint)
        if request is None:
            return known if known <= MAX_UNPROVEN_TARGETS else 0
        request.answers = known
        request.answered_at_by_target.pop(target, None)
        request.answered_at_by_target[target] = now
        if len(request.answered_at_by_target) > MAX_PROVEN_TARGETS:
            del request.answered_at_by_target[next(iter(request.answered_at_by_target))]
        if request.answers >= ANSWERS_PER_END * len(request.suspicions_by_target):
            self._acquit(fingerprint, now)
        return request.answers

    @callback
    def record_life_sign(self, sign: LifeSign) -> bool:
        """Clear what a target has outlived; return whether there was anything."""
        is_news = False
        for fingerprint in list(self._fingerprints_by_target.get(sign.target, ())):
            suspicion = self._requests[fingerprint].suspicions_by_target[sign.target]
            if (
                sign.connected_at < suspicion.sent_at
                and sign.asked_at > suspicion.settles_at
            ):
                self._remove_target(fingerprint, sign.target, OUTLIVED)
                is_news = True
        return is_news

    @callback
    def record_resend(self, fingerprint: int, now: float) -> bool:
        """Record that a request was resent; return whether it is quarantined.

        As long as callers resend a request it is not forgotten.
        """
        if fingerprint in self._requests:
            self._touch(fingerprint, now)
        if not self.is_quarantined(fingerprint, now):
            return False
        self.quarantine(fingerprint, now)
        return True

    # Queries.

    @callback
    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether a request is remembered or refused."""
        return fingerprint in self._requests or fingerprint in self._quarantines

    @callback
    def is_group_suspected(self, fingerprint: int) -> bool:
        """Return whether a request is remembered, of whatever caller."""
        return group_of(fingerprint) in self._groups

    @callback
    def is_judged_alone(self, fingerprint: int) -> bool:
        """Return whether answers tell the caller of a suspected request from others."""
        group = self._groups.get(group_of(fingerprint))
        return group is not None and group.is_judged_alone(
            fingerprint, MAX_UNPROVEN_TARGETS
        )

    @callback
    def unproven_targets(self, fingerprint: int) -> frozenset[str]:
        """Return the targets that may have ended under a request.

        What the same request of other callers did counts too, unless answers tell them
        apart, or they are quarantined and explain all that counts against this one. At
        the maximum, one that did not end all of these targets itself may try a further
        one, which shows whether it is sound.
        """
        group = self._groups.get(group_of(fingerprint))
        if group is None:
            return NO_TARGETS
        own = self.own_unproven_targets(fingerprint)
        if group.is_judged_alone(fingerprint, MAX_UNPROVEN_TARGETS):
            return own
        others = group.fingerprints - {fingerprint}
        quarantined = {it for it in others if it in self._quarantines}
        if (
            quarantined
            and len(own) < MAX_UNPROVEN_TARGETS
            and all(self._is_explained(fingerprint, target) for target in own)
        ):
            own = NO_TARGETS
            others -= quarantined
        shared = own.union(*(self._requests[it].unproven_targets for it in others))
        if own == shared or len(shared) != MAX_UNPROVEN_TARGETS:
            return shared
        room = MAX_UNPROVEN_TARGETS - 1 - len(own)
        return own | frozenset(sorted(shared - own)[:room])

    @callback
    def own_unproven_targets(self, fingerprint: int) -> frozenset[str]:
        """Return the targets that may have ended under one caller's request."""
        request = self._requests.get(fingerprint)
        return NO_TARGETS if request is None else request.unproven_targets

    @callback
    def proven_targets(self, fingerprint: int) -> frozenset[str]:
        """Return the targets that answered a request since it is suspected."""
        request = self._requests.get(fingerprint)
        return NO_TARGETS if request is None else request.proven_targets

    @callback
    def count_answers(self, fingerprint: int) -> int:
        """Return the number of answers to one caller that count.

        Of a caller whose own request is not suspected, those since another one's is.
        """
        request = self._requests.get(fingerprint)
        if request is not None:
            return request.answers
        group = self._groups.get(group_of(fingerprint))
        return 0 if group is None else group.answers_by_fingerprint.get(fingerprint, 0)

    @callback
    def first_sent_at(self, fingerprint: int) -> float | None:
        """Return when the first of the sends that count against a request was sent."""
        request = self._requests.get(fingerprint)
        if request is None:
            return None
        return min(it.sent_at for it in request.suspicions_by_target.values())

    @callback
    def last_recorded_at(self, fingerprint: int) -> float:
        """Return when the last suspicion against a request was recorded."""
        group = self._groups.get(group_of(fingerprint))
        if group is None:
            return -math.inf
        return max(
            suspicion.recorded_at
            for it in group.fingerprints
            for suspicion in self._requests[it].suspicions_by_target.values()
        )

    @callback
    def is_last_target_of_another(self, target: str, fingerprint: int) -> bool:
        """Return whether another request may be sent to no target but such as this."""
        return any(
            other != fingerprint
            and len(self._requests[other].unproven_targets) >= MAX_UNPROVEN_TARGETS
            for other in self._fingerprints_by_target.get(target, ())
        )

    @callback
    def may_send(
        self,
        fingerprint: int,
        target: str,
        now: float,
        connected_at: float = -math.inf,
    ) -> bool:
        """Return whether a request may be sent over a connection to a target.

        One that several targets may have ended under may be sent to those of them that
        its caller had, and to others that have answered it since. A connection that was
        opened after its first send there may lead to the target's next life.
        """
        if self.is_quarantined(fingerprint, now):
            return False
        unproven = self.unproven_targets(fingerprint)
        return (
            len(unproven) < MAX_UNPROVEN_TARGETS
            or target in self.proven_targets(fingerprint)
            or self._is_life_in_question(fingerprint, target, connected_at)
        )

    @callback
    def _is_life_in_question(
        self, fingerprint: int, target: str, connected_at: float
    ) -> bool:
        """Return whether a connection leads to a life that had a caller's request."""
        return (
            target in self.own_unproven_targets(fingerprint)
            and connected_at
            <= self._requests[fingerprint].suspicions_by_target[target].sent_at
        )

    @callback
    def sends_since(self, at: float) -> list[UnansweredSend]:
        """Return the unanswered sends that were recorded after a time and count.

        Those to targets that a quarantined request ended are left out: who hears of
        them late may not hear of the answers that clear others of them.
        """
        return [
            UnansweredSend(
                fingerprint=fingerprint,
                target=target,
                sent_at=suspicion.sent_at,
                settles_at=suspicion.settles_at,
            )
            for fingerprint, request in self._requests.items()
            for target, suspicion in request.suspicions_by_target.items()
            if suspicion.recorded_at > at
            and not self._is_explained(fingerprint, target)
        ]

    @callback
    def answers_to_suspects(self) -> list[AnsweredSuspect]:
        """Return the targets that answered suspected requests since."""
        return [
            AnsweredSuspect(
                fingerprint=fingerprint, target=target, answers=request.answers
            )
            for fingerprint, request in self._requests.items()
            for target in request.answered_at_by_target
        ]

    @callback
    def is_any_suspected_at(self, target: str) -> bool:
        """Return whether any request may have ended a target."""
        return target in self._fingerprints_by_target

    @callback
    def count(self) -> int:
        """Return the number of requests that may have ended a target."""
        return len(self._requests)

    # Quarantines.

    @callback
    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is refused since several targets ended under it."""
        return self._quarantines.is_active(fingerprint, now)

    @callback
    def quarantined_fingerprints(self, now: float) -> list[int]:
        """Return the fingerprints of the quarantined requests."""
        return self._quarantines.active_fingerprints(now)

    @callback
    def quarantine(self, fingerprint: int, now: float) -> bool:
        """Quarantine a request, or renew its quarantine; return whether it is new."""
        is_new = not self.is_quarantined(fingerprint, now)
        self._quarantines.renew(fingerprint, now)
        if is_new:
            log_message(
                message_type="request_quarantined",
                level="warning",
                fingerprint=format_fingerprint(fingerprint),
                targets=sorted(self.unproven_targets(fingerprint)),
            )
            self.on_quarantined(fingerprint)
        return is_new

    # Review.

    @callback
    def review(self, lives: TargetLives, now: float) -> list[int]:
        """Compare the lives of targets with the requests that were at them.

        Return the requests that are found to be poison.
        """
        self._drop_expired(now)
        for target in list(self._fingerprints_by_target):
            self._review_target(target, lives, now)
        for fingerprint, request in list(self._requests.items()):
            if request.answered_at_by_target:
                self._review_answered(fingerprint, now)
        return [
            fingerprint
            for fingerprint, request in self._requests.items()
            if len(request.suspicions_by_target) >= MAX_UNPROVEN_TARGETS
            and not self.is_quarantined(fingerprint, now)
            and self._is_poison(request, now)
        ]

    @callback
    def _is_poison(self, request: SuspectedRequest, now: float) -> bool:
        """Return whether several targets have ended under a request.

        Reports of answers may be under way. A request that is still answered may go on
        to the targets that do so, which shows in time whether it is sound.
        """
        return (
            request.last_answered_at <= now - SILENT_TIME
            and request.has_ended_several(MAX_UNPROVEN_TARGETS, now - REPORT_TIME)
        )

    @callback
    def _review_answered(self, fingerprint: int, now: float) -> None:
        """Drop what no longer counts against a request that targets have run since.

        These are ends of long ago, and those that a quarantined request explains.
        """
        request = self._requests[fingerprint]
        for target, suspicion in list(request.suspicions_by_target.items()):
            if suspicion.recorded_at <= now - SUSPECT_LIFETIME:
                self._remove_target(fingerprint, target, "long ago")
            elif self._is_explained(fingerprint, target):
                self._remove_target(fingerprint, target, "another is quarantined")

    @callback
    def _acquit(self, fingerprint: int, now: float) -> None:
        """Drop a request that was answered far more often than targets ended."""
        if self.is_quarantined(fingerprint, now):
            return
        request = self._requests[fingerprint]
        if len(request.suspicions_by_target) > 1:
            reason = f"{request.answers} times answered since"
            _log_cleared(fingerprint, request, reason)
        self._drop(fingerprint)

    @callback
    def _is_explained(self, fingerprint: int, target: str) -> bool:
        """Return whether another, quarantined request was at a target as well."""
        return any(
            other != fingerprint and other in self._quarantines
            for other in self._fingerprints_by_target[target]
        )

    @callback
    def _review_target(self, target: str, lives: TargetLives, now: float) -> None:
        """Compare the life of a target with the requests that were at it."""
        has_ended = lives.has_ended(target, now)
        for fingerprint in list(self._fingerprints_by_target[target]):
            request = self._requests[fingerprint]
            suspicion = request.suspicions_by_target[target]
            suspicion.has_ended = suspicion.has_ended or has_ended
            if not suspicion.has_ended and lives.has_outlived(
                target, suspicion.settles_at, now
            ):
                self._remove_target(fingerprint, target, OUTLIVED)

    @callback
    def _touch(self, fingerprint: int, now: float) -> SuspectedRequest:
        """Return the entry of a request and make it the one touched last."""
        request = self._requests.pop(fingerprint, None)
        if request is None:
            if len(self._requests) >= MAX_SUSPECTS:
                self._evict()
            request = SuspectedRequest(touched_at=now)
            group = self._groups.setdefault(group_of(fingerprint), SuspectedGroup())
            group.fingerprints.add(fingerprint)
        request.touched_at = now
        self._requests[fingerprint] = request
        return request

    @callback
    def _remove_target(self, fingerprint: int, target: str, reason: str) -> None:
        """Remove a target whose end does not count against a request."""
        request = self._requests[fingerprint]
        if len(request.suspicions_by_target) > 1:
            _log_cleared(fingerprint, request, f"{target}: {reason}")
        del request.suspicions_by_target[target]
        self._forget_pair(fingerprint, target)
        if not request.suspicions_by_target:
            self._drop(fingerprint)

    @callback
    def _drop(self, fingerprint: int) -> None:
        """Drop a request."""
        for target in self._requests.pop(fingerprint).suspicions_by_target:
            self._forget_pair(fingerprint, target)
        group = self._groups[group_of(fingerprint)]
        group.fingerprints.discard(fingerprint)
        if not group.fingerprints:
            del self._groups[group_of(fingerprint)]

    @callback
    def _forget_pair(self, fingerprint: int, target: str) -> None:
        """Remove a request from the index by target."""
        fingerprints = self._fingerprints_by_target[target]
        fingerprints.discard(fingerprint)
        if not fingerprints:
            del self._fingerprints_by_target[target]

    @callback
    def _evict(self) -> None:
        """Make room: one of the oldest requests goes that was at the fewest targets.

        One that targets have run since goes before others.
        """
        oldest = islice(self._requests, EVICTION_SAMPLE)
        self._drop(min(oldest, key=lambda it: _eviction_order(self._requests[it])))

    @callback
    def _drop_expired(self, now: float) -> None:
        """Drop requests that have not been sent for long, and ended quarantines."""
        while self._requests:
            fingerprint, request = next(iter(self._requests.items()))
            if now - request.touched_at < SUSPECT_LIFETIME:
                break
            self._drop(fingerprint)
        self._quarantines.expire(now)


@callback
def _eviction_order(request: SuspectedRequest) -> tuple[bool, int]:
    """Return the order in which requests are dropped to make room."""
    return not request.answered_at_by_target, len(request.suspicions_by_target)


@callback
def _ignore_fingerprint(fingerprint: int) -> None:
    """Do nothing."""


@callback
def _log_cleared(fingerprint: int, request: SuspectedRequest, reason: str) -> None:
    """Log that a request is suspected no longer, or at fewer targets."""
    log_message(
        message_type="suspicion_dropped",
        fingerprint=format_fingerprint(fingerprint),
        targets=sorted(request.suspicions_by_target),
        reason=reason,
    )
