"""Handling of callers' requests."""

from __future__ import annotations

import asyncio
from typing import Final

from aiohttp.web import BaseRequest, StreamResponse

from swiftpin.core import callback
from swiftpin.exceptions import (
    AnswerLostError,
    CallerLeftError,
    DeadlineExceededError,
    MalformedRequestError,
    NotReadyError,
    QueueFullError,
    RequestError,
)
from swiftpin.gateway.deadline_watch import Deadline, DeadlineWatch
from swiftpin.gateway.http_protocol import GatewayProtocol
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.request_body import RequestBody
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.platform.request_head import RequestHead, decode_request_head
from swiftpin.router.call import Call
from swiftpin.router.caller_answer import CallerAnswer
from swiftpin.router.caller_hash import hash_caller
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.exceptions import NoRouteError
from swiftpin.router.instance_capacity import InstanceCapacity
from swiftpin.router.received_answer import ReceivedAnswer
from swiftpin.router.request_log import RequestLog
from swiftpin.router.request_sender import RequestSender
from swiftpin.router.request_use import RequestUse
from swiftpin.router.route_path import route_path
from swiftpin.router.send_cutoff import SendCutoff, shutting_down_error
from swiftpin.router.split_chooser import SplitChooser
from swiftpin.router.step_failure import StepFailure

NOT_READY_RETRY_AFTER: Final = 0.5
"""Seconds after which a caller may retry a request that was refused by an instance that
has just started or whose configuration is out of date."""

NO_SLOT_RETRY_AFTER: Final = 0.5
"""Seconds after which a caller may retry a request that got no slot in time."""


class RequestHandler:
    """Routes requests to targets and answers them by their deadlines."""

    def __init__(
        self,
        *,
        configuration: ConfigurationHolder,
        sender: RequestSender,
        lifecycle: Lifecycle,
        cutoff: SendCutoff,
        log: RequestLog,
        capacity: InstanceCapacity,
    ) -> None:
        self.in_flight = 0
        """Number of requests that are being handled."""

        self._is_refusing_new_requests = False
        self._deadlines_by_call: dict[int, tuple[Call, Deadline]] = {}
        self._configuration = configuration
        self._sender = sender
        self._lifecycle = lifecycle
        self._cutoff = cutoff
        self._log = log
        self._capacity = capacity
        self._split_chooser = SplitChooser()
        self._deadline_watch = DeadlineWatch()

    @callback
    def handle_configuration_change(self) -> None:
        """Restart the traffic splits with the weights of the new configuration."""
        self._split_chooser.reset()

    @callback
    def refuse_new_requests(self) -> None:
        """Refuse all new requests, also on connections that are already open.

        A request accepted shortly before the process exits would get no answer.
        """
        self._is_refusing_new_requests = True

    @callback
    def refuse_waiting_requests(self) -> None:
        """Interrupt every request that is not at a target.

        Requests may have to queue for longer than the remaining grace period. They
        would get no answer when the process exits, and another instance can serve them.
        """
        for call, deadline in self._deadlines_by_call.values():
            if not call.is_at_target:
                _interrupt(call, deadline)

    @callback
    def refuse_long_requests(self) -> None:
        """Interrupt every request that is not at a target and may not be sent to one.

        It can't be served here any more, whatever it waits for.
        """
        for call, deadline in self._deadlines_by_call.values():
            if not call.is_at_target and not self._cutoff.allows(call.ends_at):
                _interrupt(call, deadline)

    @callback
    def interrupt_requests(self) -> None:
        """Interrupt every request whose answer has not started.

        The callers learn whether their requests may have run. The process would close
        their connections without an answer.
        """
        for call, deadline in self._deadlines_by_call.values():
            _interrupt(call, deadline)

    @callback
    def unload(self) -> None:
        """Stop the deadline timer."""
        self._deadline_watch.unload()

    async def async_handle(self, request: BaseRequest) -> StreamResponse:
        """Handle one request and return its finished response."""
        started_at = asyncio.get_running_loop().time()
        answer = CallerAnswer(request, "")
        answer.closes_connection = self._lifecycle.leaving or self._capacity.is_crowded
        self.in_flight += 1
        try:
            await self._async_serve(request, answer, started_at)
        finally:
            self.in_flight -= 1
            answer.closes_connection = (
                answer.closes_connection or self._lifecycle.leaving
            )
        return answer.response

    async def _async_serve(
        self, request: BaseRequest, answer: CallerAnswer, started_at: float
    ) -> None:
        """Handle one request and turn errors into answers."""
        call: Call | None = None
        try:
            head = _decode_head(request)
            answer.set_request_id(head.id)
            call = self._create_call(request, head, started_at)
            await self._async_send_and_relay(call, answer)
        except CallerLeftError:
            self._log.write_caller_left(call, started_at)
        except asyncio.CancelledError:
            self._log.write_caller_left(call, started_at)
            raise
        except RequestError as err:
            self._log.write_failed(call, request, err, started_at)
            if not answer.is_started:
                await _async_send_error(answer, err)
        except Exception as fault:  # noqa: BLE001 - answered as an internal error
            # The HTTP server would report a malformed request that was not executed,
            # although a target may have executed it.
            internal_error = RequestError("the router failed; its log tells more")
            self._log.write_failed(
                call, request, internal_error, started_at, fault=fault
            )
            answer.abort_connection()
            if not answer.is_started:
                await _async_send_error(answer, internal_error)
        else:
            self._log.write_served(call, started_at)

    @callback
    def _create_call(
        self, request: BaseRequest, head: RequestHead, started_at: float
    ) -> Call:
        """Return a call with the route of the request; raise if it can't be served."""
        protocol = request.protocol
        if isinstance(protocol, GatewayProtocol) and protocol.has_caller_left():
            raise CallerLeftError("the caller left before its request was read")
        if self._is_refusing_new_requests:
            raise shutting_down_error()
        configuration = self._configuration.current
        if configuration is None:
            raise NotReadyError(
                "the instance knows no configuration yet",
                retry_after=NOT_READY_RETRY_AFTER,
            )
        now = suspend_aware_now()
        if self._configuration.lag.is_refusing(now):
            raise _outdated_error()
        route = configuration.find_route(request.host, route_path(request.raw_path))
        if route is None and self._configuration.lag.is_outdated(now):
            raise _outdated_error()
        if route is None:
            raise NoRouteError("no route matches the host and path")
        timeout = min(head.deadline, route.timeout)
        return Call(
            request=request,
            head=head,
            route=route,
            service=self._split_chooser.choose(route),
            body=RequestBody(request, configuration.limits.body_bytes),
            started_at=started_at,
            ends_at=started_at + timeout,
            caller=hash_caller(request.remote),
            configuration=configuration.version,
        )

    async def _async_send_and_relay(self, call: Call, answer: CallerAnswer) -> None:
        """Send a request and relay its answer to the caller, if there is room."""
        use = self._capacity.admit(call)
        try:
            received = await self._async_send(call)
            await self._async_relay(call, answer, received, use)
        finally:
            if use is not None:
                use.end()

    async def _async_send(self, call: Call) -> ReceivedAnswer:
        """Return the start of a target's answer by the deadline of a request."""
        try:
            with self._deadline_watch.until(call.ends_at) as deadline:
                self._deadlines_by_call[id(call)] = (call, deadline)
                await call.body.async_prefetch()
                return await self._sender.async_send(call)
        except TimeoutError as err:
            if call.is_interrupted_by_stop:
                raise _interrupted_error(call) from err
            raise _timeout_error(call) from err
        finally:
            self._deadlines_by_call.pop(id(call), None)

    async def _async_relay(
        self,
        call: Call,
        answer: CallerAnswer,
        received: ReceivedAnswer,
        use: RequestUse | None,
    ) -> None:
        """Relay an answer to the caller and release its connection."""
        try:
            delivery = (
                None if use is None else use.begin_delivery(call.request, received)
            )
            # An answer that has started is relayed even after the deadline.
            await answer.async_relay(
                received.answer, received.first_chunks, delivery=delivery
            )
            seconds = asyncio.get_running_loop().time() - received.answer_began_at
            self._sender.transfer_times.record(call.service, call.route.kind, seconds)
        finally:
            received.finish(asyncio.get_running_loop().time())


@callback
def _decode_head(request: BaseRequest) -> RequestHead:
    """Decode the headers; raise `MalformedRequestError` if they are invalid."""
    try:
        return decode_request_head(request.headers)
    except ValueError as err:
        raise MalformedRequestError(f"a header is malformed: {err}") from err


@callback
def _outdated_error() -> RequestError:
    """Return the error for callers while a newer configuration is missing."""
    return NotReadyError(
        "the instance's configuration is out of date", retry_after=NOT_READY_RETRY_AFTER
    )


@callback
def _interrupt(call: Call, deadline: Deadline) -> None:
    """End the work on a request because this instance stops."""
    call.is_interrupted_by_stop = True
    deadline.interrupt()


@callback
def _interrupted_error(call: Call) -> RequestError:
    """Return the error for a request that the stop of this instance interrupted."""
    if call.may_have_run:
        return AnswerLostError("the instance ended before the target answered")
    return shutting_down_error()


@callback
def _timeout_error(call: Call) -> RequestError:
    """Return the error for a request that timed out, and record where it timed out."""
    if StepFailure.GIVEN_UP not in call.step_failures:
        call.record_failure(StepFailure.TIME_OVER, "time over while it waited")
    if call.may_have_run:
        return DeadlineExceededError("the time of the request is over")
    return QueueFullError(
        "the request got no slot in time", retry_after=NO_SLOT_RETRY_AFTER
    )


async def _async_send_error(answer: CallerAnswer, err: RequestError) -> None:
    """Send the answer of a failed request, unless the caller has disconnected."""
    try:
        await answer.async_error(err)
    except CallerLeftError:
        # The failed request has already been logged.
        return
