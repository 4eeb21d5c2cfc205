"""Sending of one service's grants and releases."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import (
    GrantRefusedError,
    TargetNotReachedError,
    TargetReplacedError,
    TargetUnreachableError,
    UnexpectedAnswerError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import CONTROL_TIMEOUT, MIN_HOLD, RELEASE_TIMEOUT
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_session import TargetSession
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.key_grant import GrantCall, KeyGrant
from swiftpin.model.target import Target
from swiftpin.platform.target_control import TargetControl


class Granter:
    """Sends single grants and releases, and updates the session of their target.

    A fence is allocated as late as possible, once the call's connection is open. The
    fences of a key therefore increase in the order of its calls, regardless of what
    was recorded in between.
    """

    def __init__(
        self,
        *,
        control: TargetControl,
        sessions: TargetSessions,
        directory: TargetDirectory,
        health_path: str,
        regular_hold: Callable[[], float],
        fences: Fences,
        term: int,
    ) -> None:
        self.handovers_by_fence: dict[int, str] = {}
        """Handovers by the recorded fence of their segment."""

        self._control = control
        self._sessions = sessions
        self._directory = directory
        self._health_path = health_path
        self._regular_hold = regular_hold
        self._fences = fences
        self._term = term

    @callback
    def allocate_fence(self) -> int:
        """Return a fence above all that were sent so far."""
        return self._fences.allocate()

    @callback
    def prune_handovers(self, assignment: Assignment) -> None:
        """Drop handovers of segments that have been split, merged or moved since."""
        if len(self.handovers_by_fence) <= 2 * len(assignment.segments):
            return
        for fence in self.handovers_by_fence.keys() - assignment.fences():
            del self.handovers_by_fence[fence]

    async def async_release(
        self, target: Target, grant: KeyGrant, session: TargetSession
    ) -> str | None:
        """Send one release to a target and return its handover.

        `session` belongs to the life that was granted the keys, which may be an
        earlier one than `target`. It records whether the call was answered.
        """
        try:
            handover = await self._control.async_release(
                target.address,
                target.name,
                grant,
                avoided_connection=session.grant_connection,
                limit=RELEASE_TIMEOUT,
            )
        except TargetReplacedError:
            self._sessions.get_or_create(target.id).is_gone = True
            raise
        except UnexpectedAnswerError:
            session.note_failure(suspend_aware_now())
            await self._async_check_identity(target)
            raise
        except TargetUnreachableError:
            session.note_failure(suspend_aware_now())
            raise
        session.note_answer()
        return handover

    async def async_grant(
        self, target: Target, segment: Segment, session: TargetSession
    ) -> bool:
        """Send one grant or renewal; return whether the target accepted it."""
        was_failing = session.is_failing
        try:
            accepted = await self._async_send(target, segment, session)
        except GrantRefusedError:
            # The target has seen a higher fence, from a release or a previous assigner.
            # It still owns the keys, since no other target was granted them.
            session.drop_fence(segment.fence)
            accepted = await self._async_send_without_retry(target, segment, session)
        if accepted and was_failing:
            # The target answers again; the short trial grant would expire before the
            # next renewal.
            return await self._async_send_without_retry(target, segment, session)
        return accepted

    async def _async_send_without_retry(
        self, target: Target, segment: Segment, session: TargetSession
    ) -> bool:
        """Send a grant without retrying a refusal; return whether it was accepted."""
        try:
            return await self._async_send(target, segment, session)
        except GrantRefusedError:
            # Another instance grants under higher fences.
            session.drop_fence(segment.fence)
            return False

    async def _async_send(
        self, target: Target, segment: Segment, session: TargetSession
    ) -> bool:
        """Send a grant; return whether it was accepted.

        Raises `GrantRefusedError` when the target has seen a higher fence.
        """
        hold = self._hold_time(session, suspend_aware_now())
        call = GrantCall(
            first=segment.first,
            last=segment.last,
            hold=hold,
            handover=self.handovers_by_fence.get(segment.fence),
            fence_for_connection=lambda connection: session.fence_for_connection(
                connection, segment.fence, self._fences.allocate
            ),
            preferred_connection=session.grant_connection,
        )
        try:
            await self._control.async_grant(
                target.address, target.name, call, limit=CONTROL_TIMEOUT
            )
        except GrantRefusedError as err:
            log_message(
                message_type="grant_refused",
                level="warning",
                target=target.id,
                first=segment.first,
                last=segment.last,
                fence=session.last_sent_fence(segment.fence),
                error=str(err),
            )
            session.note_answer()
            raise
        except TargetReplacedError as err:
            log_message(message_type="target_replaced", target=target.id, by=str(err))
            session.is_gone = True
            return False
        except UnexpectedAnswerError as err:
            # An intermediary may have forwarded the call to the target.
            session.note_grant(suspend_aware_now(), hold)
            self._handle_unanswered(target, segment, session, hold, err)
            await self._async_check_identity(target)
            return False
        except TargetNotReachedError as err:
            self._handle_unanswered(target, segment, session, hold, err)
            return False
        except TargetUnreachableError as err:
            session.note_grant(suspend_aware_now(), hold)
            self._handle_unanswered(target, segment, session, hold, err)
            return False
        session.note_grant(suspend_aware_now(), hold)
        session.note_answer()
        return True

    async def _async_check_identity(self, target: Target) -> None:
        """Mark the target as gone if another target now answers at its address.

        A target of another service may reject grants without identifying itself. Its
        health endpoint shows that the intended target is gone, so that the keys can
        be granted to others before its grants expire.
        """
        found_name = await self._control.async_identify(
            target.address, self._health_path, limit=CONTROL_TIMEOUT
        )
        if found_name is None or found_name == target.name:
            return
        log_message(message_type="target_replaced", target=target.id, by=found_name)
        self._sessions.get_or_create(target.id).is_gone = True
        self._directory.mark_replaced(target.id, suspend_aware_now())

    @callback
    def _hold_time(self, session: TargetSession, now: float) -> float:
        """Return the duration of the next grant, in seconds.

        A target that did not answer gets no grant that expires later than those it may
        already hold: otherwise each attempt would delay the time at which its keys
        become free.
        """
        hold = self._regular_hold()
        if session.is_failing:
            max_unextended = session.max_unextended_hold(now + CONTROL_TIMEOUT)
            return max(min(hold, max_unextended), MIN_HOLD)
        return hold

    @callback
    def _handle_unanswered(
        self,
        target: Target,
        segment: Segment,
        session: TargetSession,
        hold: float,
        err: TargetUnreachableError,
    ) -> None:
        """Record a failed grant and log whether it may have taken effect."""
        now = suspend_aware_now()
        session.note_failure(now)
        match err:
            case UnexpectedAnswerError():
                outcome = "unexpected answer"
            case TargetNotReachedError():
                outcome = "not sent"
            case _:
                outcome = "written"
        if not session.unanswered_log_filter.should_log(
            now, outcome, type(err.__cause__).__name__
        ):
            return
        log_message(
            message_type="grant_unanswered",
            level="warning",
            target=target.id,
            first=segment.first,
            last=segment.last,
            fence=session.last_sent_fence(segment.fence),
            recorded_fence=segment.fence,
            term=self._term,
            hold=hold,
            outcome=outcome,
            reason=str(err),
        )
