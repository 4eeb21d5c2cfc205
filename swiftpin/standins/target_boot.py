"""What a target holds from one start to its end."""

from __future__ import annotations

from collections.abc import Callable
from uuid import uuid4

from swiftpin.core import callback
from swiftpin.standins.data_request import DataRequest
from swiftpin.standins.execution_slots import ExecutionSlots
from swiftpin.standins.grant_table import GrantTable
from swiftpin.standins.key_state import KeyState
from swiftpin.standins.target_identity import TargetIdentity
from swiftpin.standins.target_options import TargetOptions
from swiftpin.trace.trace_event import TraceEvent


class TargetBoot:
    """Grants, slots and keys' state of one boot; all are lost at its end."""

    def __init__(
        self,
        options: TargetOptions,
        record: Callable[[TraceEvent], None],
        now: float,
    ) -> None:
        self._record = record
        self._states_by_key: dict[tuple[str, str], KeyState] = {}
        self._ended = False
        self.identity = TargetIdentity(target=options.name, boot_id=uuid4().hex)
        self.started_at = now
        self.grants = GrantTable(self.identity, self.record)
        self.slots = ExecutionSlots(options.slots)

    def state(self, data: DataRequest) -> KeyState:
        """Return the state of the request's key."""
        key = (data.service, data.state_key)
        state = self._states_by_key.get(key)
        if state is None:
            state = self._states_by_key[key] = KeyState(data.state_key)
        return state

    @callback
    def record(self, event: TraceEvent) -> None:
        """Record an event, unless the boot has ended."""
        if not self._ended:
            self._record(event)

    @callback
    def end(self, now: float) -> None:
        """Give up all slices and record nothing more."""
        self.grants.stop(now)
        self._ended = True
