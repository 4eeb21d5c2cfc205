"""Grants and releases of one service, and what its targets answer."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import TargetUnreachableError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.const import CONTROL_TIMEOUT, MIN_HOLD, RELEASE_TIMEOUT
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_session import TargetSession
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.target import Target
from swiftpin.platform.target_control import (
    GrantCall,
    GrantRefusedError,
    KeyGrant,
    TargetControl,
    TargetNotReachedError,
    TargetReplacedError,
    UnexpectedAnswerError,
)


class Granter:
    """Sends single grants and releases, and notes what they tell of a target.

    Fences are taken as late as possible, when the connection of a call is open. So
    those of a key rise in the order of its calls, whatever was recorded meanwhile.
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
        """Handovers by the fence under which their segment was recorded."""

        self._control = control
        self._sessions = sessions
        self._directory = directory
        self._health_path = health_path
        self._regular_hold = regular_hold
        self._fences = fences
        self._term = term

    @callback
    def allocate_fence(self) -> int:
        """Return a fence above all that were sent."""
        return self._fences.allocate()

    @callback
    def prune_handovers(self, present: Assignment) -> None:
        """Drop handovers of segments that were cut, joined or moved since."""
        if len(self.handovers_by_fence) <= 2 * len(present.segments):
            return
        for fence in self.handovers_by_fence.keys() - present.fences():
            del self.handovers_by_fence[fence]

    async def async_release(
        self, target: Target, grant: KeyGrant, session: TargetSession
    ) -> str | None:
        """Send one release to a target; its answer or silence goes to `session`.

        The session is that of the life that had the keys, which may be an earlier one.
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
            await self._async_identify(target)
            raise
        except TargetUnreachableError:
            session.note_failure(suspend_aware_now())
            raise
        session.note_answer()
        return handover

    async def async_grant(
        self, target: Target, segment: Segment, session: TargetSession
    ) -> bool:
        """Send one grant or renewal; return whether the target took it."""
        is_trial = session.is_failing
        try:
            taken = await self._async_send(target, segment, session)
        except GrantRefusedError:
            # It has seen a higher fence, from a release or a former assigner. The keys
            # are its own all the same, since nobody else was granted them.
            session.drop_fence(segment.fence)
            taken = await self._async_send_last(target, segment, session)
        if taken and is_trial:
            # The target answers again; a grant that short would end before the next.
            return await self._async_send_last(target, segment, session)
        return taken

    async def _async_send_last(
        self, target: Target, segment: Segment, session: TargetSession
    ) -> bool:
        """Send a grant; return whether the target took it."""
        try:
            return await self._async_send(target, segment, session)
        except GrantRefusedError:
            # Somebody grants under higher fences than this instance has.
            session.drop_fence(segment.fence)
            return False

    async def _async_send(
        self, target: Target, segment: Segment, session: TargetSession
    ) -> bool:
        """Send a grant; return whether it was taken.

        Raises `GrantRefusedError` when the target has seen a higher fence.
        """
        hold = self._hold(session, suspend_aware_now())
        call = GrantCall(
            first=segment.first,
            last=segment.last,
            hold=hold,
            handover=self.handovers_by_fence.get(segment.fence),
            fence_over=lambda connection: session.fence_for_connection(
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
            # Something between here and the target may have passed the call on.
            session.note_grant(suspend_aware_now(), hold)
            self._note_unanswered(target, segment, session, hold, err)
            await self._async_identify(target)
            return False
        except TargetNotReachedError as err:
            self._note_unanswered(target, segment, session, hold, err)
            return False
        except TargetUnreachableError as err:
            session.note_grant(suspend_aware_now(), hold)
            self._note_unanswered(target, segment, session, hold, err)
            return False
        session.note_grant(suspend_aware_now(), hold)
        session.note_answer()
        return True

    async def _async_identify(self, target: Target) -> None:
        """Find out whether another target has the address by now.

        One of another service does not take grants and may not say who it is; then
        the target meant is gone, and its keys need not wait for its grants to end.
        """
        found = await self._control.async_identify(
            target.address, self._health_path, limit=CONTROL_TIMEOUT
        )
        if found is None or found == target.name:
            return
        log_message(message_type="target_replaced", target=target.id, by=found)
        self._sessions.get_or_create(target.id).is_gone = True
        self._directory.note_replaced(target.id, suspend_aware_now())

    @callback
    def _hold(self, session: TargetSession, now: float) -> float:
        """Return for how long to grant, in seconds.

        A target that did not answer is asked again, but not beyond what it may hold
        anyway: else each try would put off the moment at which its keys are free.
        """
        hold = self._regular_hold()
        if session.is_failing:
            unextended = session.max_unextended_hold(now + CONTROL_TIMEOUT)
            return max(min(hold, unextended), MIN_HOLD)
        return hold

    @callback
    def _note_unanswered(
        self,
        target: Target,
        segment: Segment,
        session: TargetSession,
        hold: float,
        err: TargetUnreachableError,
    ) -> None:
        """Note a grant without an answer, and tell what it may have left behind."""
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
