"""Copies of one request, and the number of targets that they may be at."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import replace
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.permits.caller_turns import CallerTurns
from swiftpin.permits.copy_targets import CopyTargets
from swiftpin.permits.end_estimate import ANSWER_TRANSFER_TIME
from swiftpin.permits.live_targets import LiveTargets
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.request_copies import CopyAnswer, RequestCopies, RequestCopy
from swiftpin.poison.fingerprint import group_of
from swiftpin.poison.suspect_table import MAX_UNPROVEN_TARGETS, SuspectTable
from swiftpin.poison.suspicion import UnansweredSend

MAX_SUSPECT_HOLD: Final = 1.0
"""Seconds for which a request is held that was at the maximum number of targets. None
of its copies is about to be answered, so a longer wait rarely helps."""

MAX_COPY_ANSWERS: Final = 32
"""Maximum number of answers that are remembered while further copies have none."""

SUSPECT_RETRY_AFTER: Final = 1.0
"""Seconds after which a request that was held in vain may be sent again."""


class CopyTracker:
    """Knows the copies of each request that wait for a permit or have one.

    Callers resend a request under other ids, at any instance, and a caller may come
    from several addresses. A request may be at few targets, counting those that may
    have ended under it and those that have not answered yet; further copies are held.
    Targets that have answered it since it is suspected don't count. If no target may
    have ended under it, several answers to copies of a caller that were under way at
    the same time let its others go on. Callers that no answer tells apart take turns.

    If the request has no key, the last of these targets must be known to live: else a
    request that met dead targets by chance could not be told from one that ends them.
    No other suspected request may be at the last target of one, unless that target has
    answered it: else a sound request that waits for the same owners as one that ends
    them would be refused with it.

    Times are on the event loop's clock, if not said otherwise.
    """

    def __init__(
        self,
        submit: Callable[[PermitRequest, float], None],
        try_grant: Callable[[PermitRequest, Callable[[str], bool], float], bool],
        suspects: SuspectTable,
        suspend_aware_clock: Callable[[], float] = suspend_aware_now,
    ) -> None:
        self.on_answered: Callable[[int, str], None] = _ignore_answer
        """Called with the fingerprint of each request that was answered, and with the
        target that did it."""

        self.on_unanswered: Callable[[UnansweredSend], None] = _ignore_send
        """Called with a send whose outcome will not be told, since its link is lost."""

        self.live_targets = LiveTargets()
        self._submit = submit
        self._try_grant = try_grant
        """Grants a permit at once for one of the targets that a function allows."""

        self._suspects = suspects
        self._turns = CallerTurns(suspects)
        self._suspend_aware_clock = suspend_aware_clock
        self._copies_by_request: dict[tuple[str, int], RequestCopy] = {}
        self._copies_by_group: dict[int, RequestCopies] = {}
        """By what the fingerprints of all callers of a request have in common."""

        self._fingerprint_by_last_target: dict[str, int] = {}
        """Suspected requests that are at the last of their targets."""

        self._held_groups: dict[int, None] = {}
        """Those with held copies."""

    @callback
    def copies_of(self, fingerprint: int) -> Collection[RequestCopy]:
        """Return the copies of a request, of all callers."""
        copies = self._copies_by_group.get(group_of(fingerprint))
        return () if copies is None else [*copies.passed, *copies.held]

    @callback
    def submit(self, request: PermitRequest, now: float) -> None:
        """Pass a request on to its queue, which may decide at once."""
        if not request.fingerprint:
            self._submit(request, now)
            return

        def on_decision(decision: PermitDecision) -> None:
            if decision.is_granted:
                copy.target = decision.target
                copy.granted_at = self._suspend_aware_clock()
            else:
                self._remove(request.id)
            request.on_decision(decision)

        copy = RequestCopy(
            request=replace(request, on_decision=on_decision), submitted_at=now
        )
        self._copies_by_request[request.id] = copy
        group = group_of(request.fingerprint)
        copies = self._copies_by_group.setdefault(group, RequestCopies())
        copies.held[copy] = None
        if not self._review(copy, now):
            self._held_groups[group] = None

    @callback
    def record_life(self, request_id: tuple[str, int]) -> None:
        """Record that the target of a request answered it, with whatever status."""
        copy = self._copies_by_request.get(request_id)
        if copy is not None and copy.target:
            self.live_targets.record_answer(copy.target, self._suspend_aware_clock())

    @callback
    def end(
        self, request_id: tuple[str, int], now: float, *, is_answered: bool
    ) -> None:
        """Record that a permit was released, or a request withdrawn or rejected.

        An unanswered send has been reported before.
        """
        copy = self._copies_by_request.get(request_id)
        if copy is None:
            return
        fingerprint = copy.request.fingerprint
        if not is_answered:
            self._report_earlier_answers(fingerprint)
        self._remove(request_id)
        if is_answered:
            self.record_answer(fingerprint, copy.target, now)
        else:
            self._review_copies(group_of(fingerprint), now)

    @callback
    def record_answer(self, fingerprint: int, target: str, now: float) -> None:
        """Record that a target ran a request and answered it completely."""
        group = group_of(fingerprint)
        copies = self._copies_by_group.get(group)
        if copies is not None:
            answer = CopyAnswer(
                fingerprint=fingerprint, target=target, at=self._suspend_aware_clock()
            )
            copies.answers.append(answer)
            del copies.answers[:-MAX_COPY_ANSWERS]
        self.on_answered(fingerprint, target)
        self._review_copies(group, now)

    @callback
    def _report_earlier_answers(self, fingerprint: int) -> None:
        """Report answers to other copies while one waited for its own in vain.

        Those that count already are not reported again, unless the request is suspected
        anew: copies of a popular one may be at several lost targets.
        """
        first_sent_at = self._suspects.first_sent_at(fingerprint)
        if first_sent_at is None:
            return
        answers = self._copies_by_group[group_of(fingerprint)].answers
        unreported = {
            it.fingerprint
            for it in answers
            if not self._suspects.count_answers(it.fingerprint)
        }
        for answer in list(answers):
            if answer.fingerprint in unreported and answer.at > first_sent_at:
                self.on_answered(answer.fingerprint, answer.target)

    @callback
    def end_all(self, requester: str, now: float) -> None:
        """Record that the link to a requester is lost.

        Its requests may be at their targets or not.
        """
        for request_id, copy in list(self._copies_by_request.items()):
            if request_id[0] != requester:
                continue
            if copy.granted_at is not None:
                self._report_lost(copy, copy.granted_at, now)
            self.end(request_id, now, is_answered=False)

    @callback
    def expire(self, now: float) -> None:
        """Grant or reject what is held, and forget earlier signs of life."""
        for group in list(self._held_groups):
            self._review_copies(group, now)
            copies = self._copies_by_group.get(group)
            for copy in list(copies.held) if copies is not None else ():
                self._reject_late(copy, now)
            if copies is None or not copies.held:
                del self._held_groups[group]
        self.live_targets.expire(self._suspend_aware_clock())

    @callback
    def _review_copies(self, group: int, now: float) -> None:
        """Pass on the held copies of a request that may go on."""
        copies = self._copies_by_group.get(group)
        if copies is None:
            return
        held_fingerprints = set()
        for copy in self._turns.in_order(copies):
            request = copy.request
            if copy not in copies.held or request.fingerprint in held_fingerprints:
                continue
            if not self._review(copy, now) and not request.target:
                # The caller's other copies would be held for the same reason.
                held_fingerprints.add(request.fingerprint)

    @callback
    def _review(self, copy: RequestCopy, now: float) -> bool:
        """Pass a held copy on if it may go on; return whether it is held no longer."""
        fingerprint = copy.request.fingerprint
        if self._suspects.is_quarantined(fingerprint, self._suspend_aware_clock()):
            self._reject(copy)
            return True
        copies = self._copies_by_group[group_of(fingerprint)]
        if self._is_free(copies, fingerprint):
            self._pass_on(copy, now)
            return True
        if self._turns.is_in_doubt(copies, fingerprint) and not self._turns.is_first(
            copy, copies
        ):
            return False
        choice = self._choice_for(fingerprint, copies)
        if copy.request.target:
            return self._pass_to_owner(copy, choice, now)
        return self._pass_to_any(copy, choice, now)

    @callback
    def _is_free(self, copies: RequestCopies, fingerprint: int) -> bool:
        """Return whether nothing speaks against a caller's copies."""
        if self._suspects.unproven_targets(fingerprint):
            return False
        return (
            not copies.passed
            or copies.count_answers(fingerprint) >= MAX_UNPROVEN_TARGETS
        )

    @callback
    def _choice_for(self, fingerprint: int, copies: RequestCopies) -> CopyTargets:
        """Return what is known of the targets that a caller's copies may go to."""
        own = [it for it in copies.passed if it.request.fingerprint == fingerprint]
        is_told_apart = self._turns.is_told_apart(copies, fingerprint)
        return CopyTargets(
            passed=own if is_told_apart else list(copies.passed),
            own_targets=frozenset(it.target for it in own if it.target)
            | self._suspects.own_unproven_targets(fingerprint),
            unproven=self._suspects.unproven_targets(fingerprint),
            proven=self._suspects.proven_targets(fingerprint),
            occupied=self._turns.occupied_targets(copies, fingerprint),
            takes_turns=self._turns.is_in_doubt(copies, fingerprint),
        )

    @callback
    def _may_go_to(self, target: str, fingerprint: int, choice: CopyTargets) -> bool:
        """Return whether a caller's copy may go to a target."""
        if choice.takes_turns and target in choice.occupied:
            return False
        if target in choice.proven or target in choice.own_targets:
            return True
        if choice.leaves_last_to_another:
            return False
        if choice.unproven and not self._may_be_last(target, fingerprint):
            return False
        if choice.count < MAX_UNPROVEN_TARGETS - 1:
            return True
        is_further = (
            target not in choice.used or len(choice.unproven) >= MAX_UNPROVEN_TARGETS
        )
        if is_further and choice.count >= MAX_UNPROVEN_TARGETS:
            return False
        return not choice.unproven or not self._is_another_suspect_at(
            target, fingerprint
        )

    @callback
    def _pass_to_owner(
        self, copy: RequestCopy, choice: CopyTargets, now: float
    ) -> bool:
        """Pass a copy on to the owner of its key; return whether it was done."""
        target = copy.request.target
        if not self._may_go_to(target, copy.request.fingerprint, choice):
            return False
        self._note_last(target, copy.request.fingerprint, choice)
        self._pass_on(copy, now)
        return True

    @callback
    def _pass_to_any(self, copy: RequestCopy, choice: CopyTargets, now: float) -> bool:
        """Pass a copy without a key on; return whether it was done."""
        if choice.proven and self._grant(copy, choice.proven.__contains__, now):
            return True
        if choice.count >= MAX_UNPROVEN_TARGETS - 1:
            if self._try_live(copy, choice, now):
                self._note_last(copy.target, copy.request.fingerprint, choice)
                return True
            return not choice.unproven and self._grant(
                copy, lambda it: it in choice.proven or it in choice.own_targets, now
            )
        if choice.unproven and self._try_live(copy, choice, now):
            return True
        if choice.occupied:
            if self._grant(copy, lambda it: it not in choice.occupied, now):
                return True
            if choice.takes_turns:
                return False
        self._pass_on(copy, now)
        return True

    @callback
    def _note_last(self, target: str, fingerprint: int, choice: CopyTargets) -> None:
        """Keep other suspected requests from the last target of one."""
        if choice.is_last_left and target not in choice.known:
            self._fingerprint_by_last_target[target] = fingerprint

    @callback
    def _may_be_last(self, target: str, fingerprint: int) -> bool:
        """Return whether a target is not the last one of another request."""
        other = self._fingerprint_by_last_target.get(target, fingerprint)
        return other == fingerprint and not self._suspects.is_last_target_of_another(
            target, fingerprint
        )

    @callback
    def _is_another_suspect_at(self, target: str, fingerprint: int) -> bool:
        """Return whether another request is at a target and may end it."""
        return any(
            copy.target == target
            and copy.request.fingerprint != fingerprint
            and self._suspects.unproven_targets(copy.request.fingerprint)
            and target not in self._suspects.proven_targets(copy.request.fingerprint)
            for copy in self._copies_by_request.values()
        )

    @callback
    def _try_live(
        self,
        copy: RequestCopy,
        choice: CopyTargets,
        now: float,
    ) -> bool:
        """Grant a permit for a target that lived after the last send of a request.

        An instance without links to targets can't find out, and other instances may
        send to none: then the request itself shows whether a target lives.
        """
        fingerprint = copy.request.fingerprint
        since = max(
            self._suspects.last_recorded_at(fingerprint),
            *(it.granted_at for it in choice.passed if it.granted_at is not None),
            -math.inf,
        )

        def may_go_to(target: str) -> bool:
            return self._may_go_to(target, fingerprint, choice)

        def is_live(target: str) -> bool:
            return may_go_to(target) and self.live_targets.is_live_since(target, since)

        if self._grant(copy, is_live, now):
            return True
        return not self.live_targets.can_reach_targets() and self._grant(
            copy, may_go_to, now
        )

    @callback
    def _grant(
        self, copy: RequestCopy, is_allowed: Callable[[str], bool], now: float
    ) -> bool:
        """Grant a permit for an allowed target at once; return whether it was done."""
        if not self._try_grant(copy.request, is_allowed, now):
            return False
        self._mark_passed(copy)
        return True

    @callback
    def _pass_on(self, copy: RequestCopy, now: float) -> None:
        """Pass a copy on to its queue."""
        copy.target = copy.request.target
        self._mark_passed(copy)
        self._submit(copy.request, now)

    @callback
    def _mark_passed(self, copy: RequestCopy) -> None:
        """Record that a copy is held no longer."""
        copies = self._copies_by_group[group_of(copy.request.fingerprint)]
        del copies.held[copy]
        copies.passed[copy] = None

    @callback
    def _reject_late(self, copy: RequestCopy, now: float) -> None:
        """Reject a held copy that can't be answered in time."""
        held_until = copy.request.ends_at - ANSWER_TRANSFER_TIME
        fingerprint = copy.request.fingerprint
        unproven = self._suspects.unproven_targets(fingerprint)
        is_stuck = not self._suspects.proven_targets(fingerprint)
        if len(unproven) >= MAX_UNPROVEN_TARGETS and is_stuck:
            held_until = min(held_until, copy.submitted_at + MAX_SUSPECT_HOLD)
        if now >= held_until:
            self._reject(copy)

    @callback
    def _reject(self, copy: RequestCopy) -> None:
        """Reject a held copy.

        A request that waited for an owner at which another one was that ends targets
        is not suspected itself.
        """
        request = copy.request
        unproven = self._suspects.unproven_targets(request.fingerprint)
        waits_for_another = len(unproven) < MAX_UNPROVEN_TARGETS and bool(
            request.target
        )
        request.on_decision(
            PermitDecision(
                target="",
                retry_after=SUSPECT_RETRY_AFTER,
                is_suspected=not waits_for_another,
            )
        )

    @callback
    def _remove(self, request_id: tuple[str, int]) -> RequestCopy | None:
        """Remove and return a copy."""
        copy = self._copies_by_request.pop(request_id, None)
        if copy is None:
            return None
        fingerprint = copy.request.fingerprint
        copies = self._copies_by_group[group_of(fingerprint)]
        copies.held.pop(copy, None)
        copies.passed.pop(copy, None)
        if self._fingerprint_by_last_target.get(copy.target) == fingerprint and not any(
            it.target == copy.target and it.request.fingerprint == fingerprint
            for it in copies.passed
        ):
            del self._fingerprint_by_last_target[copy.target]
        if not copies.held and not copies.passed:
            del self._copies_by_group[group_of(fingerprint)]
        return copy

    @callback
    def _report_lost(self, copy: RequestCopy, granted_at: float, now: float) -> None:
        """Report a send whose outcome will not be told."""
        time_left = copy.request.ends_at - now
        self.on_unanswered(
            UnansweredSend(
                fingerprint=copy.request.fingerprint,
                target=copy.target,
                sent_at=granted_at,
                settles_at=self._suspend_aware_clock() + time_left,
            )
        )


@callback
def _ignore_answer(fingerprint: int, target: str) -> None:
    """Do nothing."""


@callback
def _ignore_send(send: UnansweredSend) -> None:
    """Do nothing."""
