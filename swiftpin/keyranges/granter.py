"""Grants and releases of one service, and what its targets answer."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import TargetUnreachableError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.const import CONTROL_TIMEOUT, RELEASE_TIMEOUT, SHORTEST_HOLD
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_session import TargetSession
from swiftpin.model.target import Target
from swiftpin.platform.target_control import (
    GrantRefusedError,
    KeyGrant,
    TargetControl,
    TargetNotReachedError,
    TargetReplacedError,
    UnexpectedAnswerError,
)


class Granter:
    """Sends single grants and releases, and notes what they tell of a target."""

    def __init__(
        self,
        *,
        control: TargetControl,
        directory: TargetDirectory,
        health_path: str,
        usual_hold: Callable[[], float],
    ) -> None:
        self.handovers_by_fence: dict[int, str] = {}
        self._control = control
        self._directory = directory
        self._health_path = health_path
        self._usual_hold = usual_hold
        self._sessions_by_target: dict[str, TargetSession] = {}

    @callback
    def session(self, target_id: str) -> TargetSession:
        """Return the session with a target."""
        session = self._sessions_by_target.get(target_id)
        if session is None:
            session = self._sessions_by_target[target_id] = TargetSession()
        if target_id in self._directory.replaced_ids:
            session.is_gone = True
        return session

    @callback
    def is_lost(self, target_id: str, now: float) -> bool:
        """Return whether a target's keys should go elsewhere."""
        session = self._sessions_by_target.get(target_id)
        return session is not None and session.is_lost(now)

    async def async_release(
        self, target: Target, grant: KeyGrant, session: TargetSession
    ) -> str | None:
        """Send one release."""
        try:
            handover = await self._control.async_release(
                target.address, target.name, grant, limit=RELEASE_TIMEOUT
            )
        except TargetReplacedError:
            session.is_gone = True
            raise
        except UnexpectedAnswerError:
            await self._async_identify(target, session)
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
        hold = self._hold(session, suspend_aware_now())
        try:
            await self._control.async_grant(
                target.address,
                target.name,
                KeyGrant(first=segment.first, last=segment.last, fence=segment.fence),
                hold=hold,
                handover=self.handovers_by_fence.get(segment.fence),
                limit=CONTROL_TIMEOUT,
            )
        except GrantRefusedError as err:
            log_message(
                message_type="grant_refused",
                level="warning",
                target=target.id,
                first=segment.first,
                fence=segment.fence,
                error=str(err),
            )
            session.note_answer()
            return False
        except TargetReplacedError as err:
            log_message(message_type="target_replaced", target=target.id, by=str(err))
            session.is_gone = True
            return False
        except UnexpectedAnswerError as err:
            self._note_unanswered(target, session, str(err))
            await self._async_identify(target, session)
            return False
        except TargetNotReachedError as err:
            self._note_unanswered(target, session, str(err))
            return False
        except TargetUnreachableError as err:
            session.note_grant(suspend_aware_now(), hold)
            self._note_unanswered(target, session, str(err))
            return False
        session.note_grant(suspend_aware_now(), hold)
        session.note_answer()
        if is_trial:
            # The target answers again; a grant that short would end before the next.
            return await self.async_grant(target, segment, session)
        return True

    async def _async_identify(self, target: Target, session: TargetSession) -> None:
        """Find out whether another target has the address by now.

        One of another service does not take grants and may not say who it is; then
        the target meant is gone, and its keys need not wait for its grants to end.
        """
        found = await self._control.async_identify(
            target.address, self._health_path, limit=CONTROL_TIMEOUT
        )
        if found is None or found == target.name:
            session.note_failure(suspend_aware_now())
            return
        log_message(message_type="target_replaced", target=target.id, by=found)
        session.is_gone = True
        self._directory.note_replaced(target.id, suspend_aware_now())

    @callback
    def _hold(self, session: TargetSession, now: float) -> float:
        """Return for how long to grant, in seconds.

        A target that did not answer is asked again, but not beyond what it may hold
        anyway: else each try would put off the moment at which its keys are free.
        """
        hold = self._usual_hold()
        if session.is_failing:
            unextended = session.unextended_hold(now + CONTROL_TIMEOUT)
            return max(min(hold, unextended), SHORTEST_HOLD)
        return hold

    @callback
    def _note_unanswered(
        self, target: Target, session: TargetSession, reason: str
    ) -> None:
        """Note a call without an answer."""
        if not session.is_failing:
            log_message(
                message_type="target_unanswered",
                level="warning",
                target=target.id,
                reason=reason,
            )
        session.note_failure(suspend_aware_now())
