"""Running of requests at targets, each when the target has a free slot."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.quarantine_verdict import QuarantineVerdict
from swiftpin.dispatch.queued_request import QueuedRequest
from swiftpin.dispatch.slot import Slot
from swiftpin.dispatch.target_queue import TargetQueue
from swiftpin.dispatch.target_sender import TargetSender
from swiftpin.exceptions import TargetConnectError, TargetRefusedError
from swiftpin.gateway.crash_guard import CrashGuard
from swiftpin.gateway.deadline_watch import DeadlineWatch
from swiftpin.gateway.header_rules import target_headers
from swiftpin.gateway.target_job import TargetJob
from swiftpin.gateway.target_loss import TargetLoss
from swiftpin.gateway.target_queues import TargetQueues
from swiftpin.ownership.route import Route

RecordWork = Callable[[Route, str, float, float], None]
"""Takes a route, its key, the seconds that a slot was busy, and the time."""

ReceivedT = TypeVar("ReceivedT")
Receive = Callable[[HttpAnswer], Awaitable[ReceivedT]]
"""Reads an answer while the target's slot is held."""


class TargetRunner:
    """Waits for a slot, sends, and lets the answer be received."""

    def __init__(
        self,
        queues: TargetQueues,
        sender: TargetSender,
        crashes: CrashGuard,
        deadlines: DeadlineWatch,
        losses: TargetLoss,
        record_work: RecordWork,
    ) -> None:
        self._queues = queues
        self._sender = sender
        self._crashes = crashes
        self._deadlines = deadlines
        self._losses = losses
        self._record_work = record_work

    @callback
    def check(self, job: TargetJob, now: float) -> None:
        """Raise the error with which the job would be refused at once, if any."""
        self._queue_of(job).check(self._queued(job), now)

    async def async_run(self, job: TargetJob, receive: Receive[ReceivedT]) -> ReceivedT:
        """Run the job and return what `receive` makes of its answer.

        Raises `NotRunError` where the target certainly did not run it, and
        `TimeoutError` when the permit's deadline passed.
        """
        queued = self._queued(job)
        queue = self._queue_of(job)
        slot = queue.async_slot(queued, monotonic_now())
        if not slot.take_at_once():
            await slot.async_take()
        try:
            return await self._async_at_target(job, slot, receive)
        finally:
            slot.leave()

    async def _async_at_target(
        self, job: TargetJob, slot: Slot, receive: Receive[ReceivedT]
    ) -> ReceivedT:
        """Send the job and receive its answer, unless its target or lease is lost."""
        now = monotonic_now()
        deadline = job.permit.deadline(now)
        service = job.incoming.service.name
        task = asyncio.current_task()
        wait = self._losses.begin(service, job.target.id, task)
        try:
            with wait:
                if deadline >= job.incoming.deadline:
                    return await self._async_send(job, slot, deadline - now, receive)
                with self._deadlines.until(deadline, task):
                    return await self._async_send(job, slot, deadline - now, receive)
        finally:
            self._losses.end(service, job.target.id, wait)
            self._count_work(job, now)

    @callback
    def _count_work(self, job: TargetJob, started_at: float) -> None:
        """Tell placement how long a request kept a slot busy."""
        if job.route is None:
            return
        now = monotonic_now()
        self._record_work(job.route, job.incoming.key, now - started_at, now)

    async def _async_send(
        self, job: TargetJob, slot: Slot, left: float, receive: Receive[ReceivedT]
    ) -> ReceivedT:
        """Send the job, which has `left` seconds, and receive its answer."""
        incoming = job.incoming
        request = HttpRequest(
            method=incoming.method,
            path=incoming.path,
            headers=target_headers(incoming, job.target, job.route, left),
            body=job.body,
        )
        with self._crashes.watch(job):
            try:
                answer = await self._sender.async_send(
                    job.target, request, job.state, job.permit.check
                )
            except (TargetRefusedError, TargetConnectError):
                slot.ignore_time()
                raise
            try:
                return await receive(answer)
            finally:
                answer.finish(monotonic_now())

    @callback
    def _queue_of(self, job: TargetJob) -> TargetQueue:
        """Return the target's queue."""
        return self._queues.queue_of(
            job.incoming.service.name,
            job.target,
            job.incoming.profile,
            None if job.route is None else job.route.group,
        )

    @callback
    def _queued(self, job: TargetJob) -> QueuedRequest:
        """Return the job as the target's queue sees it; raise when it may not run."""
        incoming = job.incoming
        verdict = self._crashes.check(job)
        return QueuedRequest(
            request_id=incoming.id,
            caller=incoming.caller,
            class_name=incoming.request_class.name,
            priority=incoming.request_class.priority,
            deadline=incoming.deadline,
            slice_id=None if job.route is None else job.route.slice_id,
            isolated=verdict is QuarantineVerdict.ISOLATE,
        )
