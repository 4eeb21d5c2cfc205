"""Sending of requests to the targets of groups that this instance holds."""

from __future__ import annotations

from functools import partial
from typing import Final

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.dispatch.queued_request import QueuedRequest
from swiftpin.dispatch.slot import Slot
from swiftpin.dispatch.target_queue import TargetQueue
from swiftpin.dispatch.target_sender import TargetSender
from swiftpin.exceptions import (
    DeadlineTooShortError,
    NoOwnerError,
    NotHolderError,
    TargetConnectError,
    TargetRefusedError,
)
from swiftpin.gateway.answer_writer import AnswerWriter
from swiftpin.gateway.header_rules import target_headers
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.ports import Ownership
from swiftpin.gateway.request_body import RequestBody
from swiftpin.gateway.target_queues import TargetQueues
from swiftpin.ownership.route import Route
from swiftpin.result import ResultCode

ANSWERED: Final = ResultCode.ANSWERED.value


class TargetDispatcher:
    """Runs requests at their targets, each when the target has a free slot."""

    def __init__(
        self, ownership: Ownership, queues: TargetQueues, sender: TargetSender
    ) -> None:
        self._ownership = ownership
        self._queues = queues
        self._sender = sender

    async def async_dispatch(
        self,
        incoming: IncomingRequest,
        body: RequestBody,
        route: Route,
        state: HttpSendState,
        writer: AnswerWriter,
    ) -> None:
        """Run a repeatable request and write its answer."""
        now = monotonic_now()
        queue = self.queue_of(incoming, route)
        try:
            async with queue.async_slot(queued_request(incoming, route), now) as slot:
                answer = await self.async_send(incoming, body, route, state, slot)
                try:
                    await writer.async_write_answer(answer, ANSWERED)
                finally:
                    answer.finish(monotonic_now())
        except NoOwnerError as err:
            raise left_route(err) from err

    @callback
    def queue_of(self, incoming: IncomingRequest, route: Route) -> TargetQueue:
        """Return the queue of the route's target."""
        return self._queues.queue_of(
            incoming.service.name, route.target, incoming.profile, route.group
        )

    async def async_send(
        self,
        incoming: IncomingRequest,
        body: RequestBody,
        route: Route,
        state: HttpSendState,
        slot: Slot,
    ) -> HttpAnswer:
        """Send the request to the route's target; return the head of its answer."""
        now = monotonic_now()
        deadline = self._deadline(incoming, route, now)
        request = HttpRequest(
            method=incoming.method,
            path=incoming.path,
            headers=target_headers(incoming, route, deadline - now),
            body=body,
        )
        try:
            return await self._sender.async_send(
                route.target,
                request,
                state,
                partial(self._check_route, incoming, route),
            )
        except (TargetRefusedError, TargetConnectError):
            slot.ignore_time()
            raise

    def _deadline(self, incoming: IncomingRequest, route: Route, now: float) -> float:
        """Return when the target must have ended the request.

        A target that does not check grants can't be told that another holder took
        over. So its work must end while this instance is certainly the holder;
        otherwise two targets could work on one key at once.
        """
        if incoming.service.checks_grants:
            return incoming.deadline
        until = self._ownership.send_until(route.group, now)
        if until is None or until <= now:
            raise NotHolderError("this instance may not send for the group any more")
        return min(incoming.deadline, until)

    @callback
    def _check_route(self, incoming: IncomingRequest, route: Route, now: float) -> None:
        """Raise unless the route holds at this very moment.

        Since it was resolved, the request may have waited for a slot or a connection,
        or the whole process was paused. The lease may have ended, or the slice may
        have moved to another target.
        """
        if now >= incoming.deadline:
            raise DeadlineTooShortError(
                "the deadline passed before the request was sent"
            )
        until = self._ownership.send_until(route.group, now)
        if until is None or until <= now:
            raise NotHolderError("this instance may not send for the group any more")
        if incoming.service.checks_grants:
            # The target itself refuses a slice or a term that it was not granted.
            return
        present = self._ownership.resolve(incoming.service, incoming.key, now)
        if present.target.id != route.target.id or present.term != route.term:
            raise NotHolderError("the key has just moved to another target")


@callback
def left_route(err: NoOwnerError) -> NotHolderError:
    """Return the error of a request whose route ended while it waited for a slot.

    Told "no owner", the entry instance would give up; told that this instance is not
    the holder any more, it looks for the new one.
    """
    return NotHolderError(err.hint, retry_after=err.retry_after)


@callback
def queued_request(incoming: IncomingRequest, route: Route) -> QueuedRequest:
    """Return the request as the target's queue sees it."""
    return QueuedRequest(
        request_id=incoming.id,
        caller=incoming.caller,
        class_name=incoming.request_class.name,
        priority=incoming.request_class.priority,
        deadline=incoming.deadline,
        slice_id=route.slice_id,
    )
