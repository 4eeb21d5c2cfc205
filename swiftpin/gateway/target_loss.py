"""Requests that run at targets, and their end when a target is lost."""

from __future__ import annotations

import asyncio

from swiftpin.core import callback
from swiftpin.exceptions import AnswerLostError
from swiftpin.gateway.task_interrupt import TaskInterrupt


class LossInterrupt(TaskInterrupt):
    """Ends the wait for an answer that a lost target will not give."""

    __slots__ = ()

    def error(self) -> Exception:
        """Return the error of a request that may have run."""
        return AnswerLostError("the target was lost while the request may be running")


class TargetLoss:
    """Knows the requests in flight at each target.

    A target that froze keeps its connections open. Its callers would wait until their
    deadlines although its keys have moved, and repeatable requests could long have
    been answered by the new owner.
    """

    def __init__(self) -> None:
        self._waits_by_target: dict[tuple[str, str], set[LossInterrupt]] = {}

    @callback
    def begin(
        self, service: str, target: str, task: asyncio.Task[object] | None
    ) -> LossInterrupt:
        """Return a context manager for the time that a request is at the target.

        `task` is the present task.
        """
        wait = LossInterrupt(task)
        waits = self._waits_by_target.get((service, target))
        if waits is None:
            waits = self._waits_by_target[(service, target)] = set()
        waits.add(wait)
        return wait

    @callback
    def end(self, service: str, target: str, wait: LossInterrupt) -> None:
        """Forget a request that is no longer at the target."""
        waits = self._waits_by_target.get((service, target))
        if waits is None:
            return
        waits.discard(wait)
        if not waits:
            del self._waits_by_target[(service, target)]

    @callback
    def target_lost(self, service: str, target: str) -> int:
        """End the waits for a lost target; return how many there were."""
        waits = list(self._waits_by_target.get((service, target), ()))
        for wait in waits:
            wait.interrupt()
        return len(waits)
