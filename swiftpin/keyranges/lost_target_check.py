"""Detection that targets without keys answer again."""

from __future__ import annotations

import asyncio
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.const import CONTROL_TIMEOUT
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.target import Target
from swiftpin.platform.target_control import TargetControl

CHECK_INTERVAL: Final = 0.5
"""Seconds between two checks of a lost target."""

MAX_CHECKS: Final = 16
"""Maximum number of targets that are checked at a time."""


class LostTargetCheck:
    """Asks lost targets that own no keys whether they answer again.

    Grants and releases show that a target answers, but one whose keys were moved away
    gets none. It would count as lost until the next assigner takes over.
    """

    def __init__(
        self,
        *,
        service: str,
        state: AssignmentState,
        sessions: TargetSessions,
        directory: TargetDirectory,
        control: TargetControl,
        health_path: str,
    ) -> None:
        self._service = service
        self._state = state
        self._sessions = sessions
        self._directory = directory
        self._control = control
        self._health_path = health_path

    async def async_run(self) -> None:
        """Check lost targets periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            await self.async_check(suspend_aware_now())

    async def async_check(self, now: float) -> None:
        """Check the lost targets once."""
        targets = self._lost_targets(now)[:MAX_CHECKS]
        await asyncio.gather(*(self._async_identify(target) for target in targets))

    @callback
    def _lost_targets(self, now: float) -> list[Target]:
        """Return the lost targets that own no keys."""
        owners = self._state.owners()
        return [
            target
            for target in self._directory.serving_targets(self._service, now)
            if target.id not in owners
            and self._sessions.is_lost(target.id, now)
            and not self._sessions.get_or_create(target.id).is_gone
        ]

    async def _async_identify(self, target: Target) -> None:
        """Note that a target answers if its own name is found at its address."""
        found_name = await self._control.async_identify(
            target.address, self._health_path, limit=CONTROL_TIMEOUT
        )
        if found_name != target.name:
            return
        self._sessions.get_or_create(target.id).note_answer()
        log_message(message_type="lost_target_answers", target=target.id)
