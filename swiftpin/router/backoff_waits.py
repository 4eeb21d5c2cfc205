"""Waits of requests whose targets must not be called at present."""

from __future__ import annotations

import asyncio

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import QueueFullError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.notices.backoff_decision import (
    RejectRequest,
    WaitForTarget,
    decide_backoff,
)
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.router.call import Call
from swiftpin.router.step_failure import StepFailure


class BackoffWaits:
    """Lets requests wait for their targets, or rejects them."""

    def __init__(self, *, directory: TargetDirectory, backoffs: TargetBackoffs) -> None:
        self._directory = directory
        self._backoffs = backoffs

    @callback
    def uncallable_targets(self, service: str) -> frozenset[str]:
        """Return the targets of a service that asked not to be called now."""
        uncallable = self._backoffs.running(suspend_aware_now())
        if not uncallable:
            return uncallable
        return uncallable & self._serving_ids(service)

    async def async_wait_for_any(self, call: Call) -> None:
        """Wait until any target of a service without keys may be called."""
        while uncallable := self.uncallable_targets(call.service):
            if uncallable != self._serving_ids(call.service):
                return
            now = suspend_aware_now()
            remaining = min(self._backoffs.remaining(it, now) for it in uncallable)
            await asyncio.sleep(self.wait_or_reject(call, "any target", remaining))

    @callback
    def wait_or_reject(self, call: Call, target: str, remaining: float) -> float:
        """Return for how many seconds a request waits for a target, or reject it.

        The target may be called in `remaining` seconds. Raises `QueueFullError`.
        """
        decision = decide_backoff(
            call.head.id,
            remaining,
            call.objective_at - asyncio.get_running_loop().time(),
            is_whole_service=self._is_whole_service(call.service),
        )
        match decision:
            case WaitForTarget():
                return decision.seconds
            case RejectRequest():
                self.record(call, target, remaining)
                raise QueueFullError(
                    "the targets asked not to be called for a while",
                    retry_after=decision.retry_after,
                )

    @callback
    def record(self, call: Call, target: str, remaining: float) -> None:
        """Record that a request was kept back, for its log line."""
        text = f"{target} must not be called for another {remaining:.1f} s"
        call.record_failure(StepFailure.BACKOFF, text)

    @callback
    def _is_whole_service(self, service: str) -> bool:
        """Return whether all targets of a service asked not to be called now."""
        return self.uncallable_targets(service) == self._serving_ids(service)

    @callback
    def _serving_ids(self, service: str) -> frozenset[str]:
        """Return the ids of the targets that serve a service."""
        targets = self._directory.serving_targets(service, suspend_aware_now())
        return frozenset(target.id for target in targets)
