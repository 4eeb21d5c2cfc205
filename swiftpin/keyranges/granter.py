"""Grants and releases of one service, and what its targets answer."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from swiftpin.core import callback
from swiftpin.exceptions import TargetUnreachableError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.const import CONTROL_TIMEOUT, RELEASE_TIMEOUT, SHORTEST_HOLD
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_contact import TargetContact
from swiftpin.platform.target_control import (
    GrantRefusedError,
    KeyGrant,
    TargetControl,
    TargetNotReachedError,
    TargetReplacedError,
    UnexpectedAnswerError,
)
from swiftpin.router.target import Target
from swiftpin.router.target_directory import TargetDirectory


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
        self._contacts_by_target: dict[str, TargetContact] = {}

    @callback
    def contact(self, target_id: str) -> TargetContact:
        """Return the contact with a target."""
        contact = self._contacts_by_target.get(target_id)
        if contact is None:
            contact = self._contacts_by_target[target_id] = TargetContact()
        if target_id in self._directory.replaced_ids:
            contact.is_gone = True
        return contact

    @callback
    def is_lost(self, target_id: str, now: float) -> bool:
        """Return whether a target's keys should go elsewhere."""
        contact = self._contacts_by_target.get(target_id)
        return contact is not None and contact.is_lost(now)

    async def async_release(
        self, target: Target, grant: KeyGrant, contact: TargetContact
    ) -> str | None:
        """Send one release."""
        try:
            handover = await self._control.async_release(
                target.address, target.id, grant, limit=RELEASE_TIMEOUT
            )
        except TargetReplacedError:
            contact.is_gone = True
            raise
        except UnexpectedAnswerError:
            await self._async_identify(target, contact)
            raise
        except TargetUnreachableError:
            contact.note_failure(suspend_aware_now())
            raise
        contact.note_answer()
        return handover

    async def async_grant(
        self, target: Target, segment: Segment, contact: TargetContact
    ) -> bool:
        """Send one grant or renewal; return whether the target took it."""
        is_trial = contact.is_failing
        hold = self._hold(contact, suspend_aware_now())
        try:
            await self._control.async_grant(
                target.address,
                target.id,
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
            contact.note_answer()
            return False
        except TargetReplacedError as err:
            log_message(message_type="target_replaced", target=target.id, by=str(err))
            contact.is_gone = True
            return False
        except UnexpectedAnswerError as err:
            self._note_unanswered(target, contact, str(err))
            await self._async_identify(target, contact)
            return False
        except TargetNotReachedError as err:
            self._note_unanswered(target, contact, str(err))
            return False
        except TargetUnreachableError as err:
            contact.note_grant(suspend_aware_now(), hold)
            self._note_unanswered(target, contact, str(err))
            return False
        contact.note_grant(suspend_aware_now(), hold)
        contact.note_answer()
        if is_trial:
            # The target answers again; a grant that short would end before the next.
            return await self.async_grant(target, segment, contact)
        return True

    async def _async_identify(self, target: Target, contact: TargetContact) -> None:
        """Find out whether another target has the address by now.

        One of another service does not take grants and may not say who it is; then
        the target meant is gone, and its keys need not wait for its grants to end.
        """
        found = await self._control.async_identify(
            target.address, self._health_path, limit=CONTROL_TIMEOUT
        )
        if found is None or found == target.id:
            contact.note_failure(suspend_aware_now())
            return
        log_message(message_type="target_replaced", target=target.id, by=found)
        contact.is_gone = True
        self._directory.note_replaced(target.id, suspend_aware_now())

    @callback
    def _hold(self, contact: TargetContact, now: float) -> float:
        """Return for how long to grant, in seconds.

        A target that did not answer is asked again, but not beyond what it may hold
        anyway: else each try would put off the moment at which its keys are free.
        """
        hold = self._usual_hold()
        if contact.is_failing:
            unextended = contact.unextended_hold(now + CONTROL_TIMEOUT)
            return max(min(hold, unextended), SHORTEST_HOLD)
        return hold

    @callback
    def _note_unanswered(
        self, target: Target, contact: TargetContact, reason: str
    ) -> None:
        """Note a call without an answer."""
        if not contact.is_failing:
            log_message(
                message_type="target_unanswered",
                level="warning",
                target=target.id,
                reason=reason,
            )
        contact.note_failure(suspend_aware_now())
