"""An execution in progress at a target."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.standins.data_request import DataRequest
from swiftpin.standins.group_grants import GroupGrants
from swiftpin.standins.refusal import Refusal
from swiftpin.standins.slice_grant import SliceGrant
from swiftpin.standins.target_boot import TargetBoot
from swiftpin.trace.execute_event import ExecuteEvent
from swiftpin.trace.execution_outcome import ExecutionOutcome
from swiftpin.trace.start_event import StartEvent


class RunningExecution:
    """One execution from its start event to its end event."""

    def __init__(
        self, boot: TargetBoot, data: DataRequest, now: float, *, unchecked: bool
    ) -> None:
        self._boot = boot
        self._start = now
        self._unchecked = unchecked
        self._group: GroupGrants | None = None
        self._grant: SliceGrant | None = None
        self._ended = False
        self.data = data
        if data.group is not None and data.slice_id is not None and not unchecked:
            self._group = boot.grants.group(data.group)
            self._grant = self._group.begin(data.slice_id)
        self._record_start()

    def refusal(self, now: float) -> Refusal | None:
        """Return why the execution may not take effect, None if it may."""
        if self._group is None or self._grant is None:
            return None
        self._group.lapse(now)
        if not self._group.holds(self._grant):
            return Refusal.LAPSED
        return None

    def is_late(self, now: float) -> bool:
        """Return whether the request's deadline has passed."""
        return self.data.deadline is not None and now >= self.data.deadline

    @callback
    def end(self, outcome: ExecutionOutcome, digest: str | None, now: float) -> None:
        """Record the end and free the slice; a second end is left out."""
        if self._ended:
            return
        self._ended = True
        data = self.data
        self._boot.record(
            ExecuteEvent(
                target=self._boot.identity.target,
                boot_id=self._boot.identity.boot_id,
                service=data.service,
                key=data.key,
                slice=data.slice_id,
                term=data.fence.term if data.fence else None,
                request_id=data.request_id,
                idempotency_key=data.idempotency_key,
                method=data.method,
                start=self._start,
                end=now,
                outcome=outcome,
                body_digest=digest,
                unchecked=self._unchecked,
            )
        )
        if self._group is not None and self._grant is not None:
            self._group.end(self._grant, now)

    @callback
    def _record_start(self) -> None:
        """Record the start."""
        data = self.data
        self._boot.record(
            StartEvent(
                target=self._boot.identity.target,
                boot_id=self._boot.identity.boot_id,
                service=data.service,
                key=data.key,
                slice=data.slice_id,
                term=data.fence.term if data.fence else None,
                request_id=data.request_id,
                idempotency_key=data.idempotency_key,
                method=data.method,
                start=self._start,
                unchecked=self._unchecked,
            )
        )
