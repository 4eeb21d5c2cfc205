"""Which requests a target takes."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.standins.data_request import DataRequest
from swiftpin.standins.refusal import Refusal
from swiftpin.standins.target_boot import TargetBoot
from swiftpin.standins.target_faults import TargetFaults
from swiftpin.standins.target_options import TargetOptions


class TargetAdmission:
    """Looks at faults, room, deadline and grant; times are the target's clock."""

    def __init__(self, boot: TargetBoot, options: TargetOptions) -> None:
        self._boot = boot
        self._options = options
        self._draining_since: float | None = None

    def at_arrival(
        self, data: DataRequest, faults: TargetFaults, now: float
    ) -> Refusal | None:
        """Return why a request may not join the queue, None if it may."""
        slots = self._boot.slots
        if slots.busy + slots.queued >= self._options.connections:
            return Refusal.SHED
        return self.at_start(data, faults, now)

    def at_start(
        self, data: DataRequest, faults: TargetFaults, now: float
    ) -> Refusal | None:
        """Return why a request may not start now, None if it may."""
        if faults.shed:
            return Refusal.SHED
        if self._refuses_drained(faults, now):
            return Refusal.DRAINING
        if data.deadline is not None and data.deadline <= now:
            return Refusal.DEADLINE
        if self._options.unchecked:
            return None
        if data.group is None or data.slice_id is None or data.fence is None:
            return None
        group = self._boot.grants.group(data.group)
        return group.refusal(data.slice_id, data.fence, now)

    @callback
    def note_drain(self, faults: TargetFaults, now: float) -> None:
        """Note when the target began or ceased to drain."""
        if not faults.drain:
            self._draining_since = None
        elif self._draining_since is None:
            self._draining_since = now

    def _refuses_drained(self, faults: TargetFaults, now: float) -> bool:
        """Return whether the target drains and its grace has passed."""
        self.note_drain(faults, now)
        if self._draining_since is None:
            return False
        return now >= self._draining_since + faults.drain_grace_ms / 1000
