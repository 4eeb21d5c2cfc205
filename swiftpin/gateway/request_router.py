"""Routing of one request to its target."""

from __future__ import annotations

import asyncio

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    NoOwnerError,
    NotHolderError,
    NotRunError,
    RequestError,
    RetryBudgetSpentError,
)
from swiftpin.gateway.answer_writer import AnswerWriter
from swiftpin.gateway.forwarder import Forwarder
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.metrics import Metrics
from swiftpin.gateway.once_dispatcher import OnceDispatcher
from swiftpin.gateway.ports import Ownership
from swiftpin.gateway.request_body import RequestBody
from swiftpin.gateway.request_record import RequestRecord
from swiftpin.gateway.retry_policy import RetryPolicy
from swiftpin.gateway.target_dispatcher import TargetDispatcher
from swiftpin.ownership.route import Route
from swiftpin.result import Executed


class RequestRouter:
    """Resolves routes, sends requests along them, and retries where that is safe."""

    def __init__(
        self,
        ownership: Ownership,
        dispatcher: TargetDispatcher,
        once_dispatcher: OnceDispatcher,
        forwarder: Forwarder,
        retries: RetryPolicy,
        metrics: Metrics,
    ) -> None:
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._once_dispatcher = once_dispatcher
        self._forwarder = forwarder
        self._retries = retries
        self._metrics = metrics

    async def async_serve(
        self,
        incoming: IncomingRequest,
        body: RequestBody,
        state: HttpSendState,
        writer: AnswerWriter,
        record: RequestRecord,
    ) -> None:
        """Get the request answered, or raise a `RequestError`."""
        now = monotonic_now()
        service = incoming.service.name
        budget = self._retries.budget(service, incoming.profile, now)
        budget.record_first_try()
        route = self._ownership.resolve(incoming.service, incoming.key, now)
        while True:
            record.route = route
            record.attempts += 1
            record.looked_up = False
            try:
                await self._async_try(incoming, body, route, state, writer, record)
            except RequestError as err:
                record.may_have_run |= err.executed is not Executed.NO
                if writer.begun or not body.can_be_sent:
                    raise
                route = await self._async_next_route(err, incoming, route, record)
                if not budget.spend(monotonic_now()):
                    raise _budget_spent(err) from err
                self._metrics.count_retry(service)
            else:
                return

    async def _async_try(
        self,
        incoming: IncomingRequest,
        body: RequestBody,
        route: Route,
        state: HttpSendState,
        writer: AnswerWriter,
        record: RequestRecord,
    ) -> None:
        """Send the request along the route, once."""
        if route.forward_address is not None:
            if incoming.forwarded:
                raise NotHolderError("this instance does not hold the group")
            await self._forwarder.async_forward(
                incoming, body, route.forward_address, state, writer
            )
        elif incoming.request_class.repeatable:
            await self._dispatcher.async_dispatch(incoming, body, route, state, writer)
        else:
            await self._once_dispatcher.async_dispatch(
                incoming, body, route, state, writer, record
            )

    async def _async_next_route(
        self,
        err: RequestError,
        incoming: IncomingRequest,
        route: Route,
        record: RequestRecord,
    ) -> Route:
        """Return the route for another attempt; raise the error when there is none."""
        if not self._retries.allows(err, incoming):
            raise err
        while record.attempts < incoming.profile.max_attempts:
            delay = self._retries.delay(record.attempts)
            if monotonic_now() + delay >= incoming.deadline:
                break
            await asyncio.sleep(delay)
            fresh = self._fresh_route(incoming)
            if fresh is not None and (
                not self._retries.needs_other_route(err) or not _is_same(fresh, route)
            ):
                return fresh
            record.attempts += 1
        raise err

    @callback
    def _fresh_route(self, incoming: IncomingRequest) -> Route | None:
        """Return the present route, None while there is none."""
        try:
            return self._ownership.resolve(
                incoming.service, incoming.key, monotonic_now()
            )
        except NoOwnerError:
            return None


@callback
def _is_same(first: Route, second: Route) -> bool:
    """Return whether two routes lead to the same place under the same lease."""
    return (
        first.target.id == second.target.id
        and first.term == second.term
        and first.holder == second.holder
    )


@callback
def _budget_spent(err: RequestError) -> RequestError:
    """Return the error of a request for which no retry is left."""
    if not isinstance(err, NotRunError):
        return err
    return RetryBudgetSpentError(
        f"{err.hint}; no retry is left", retry_after=err.retry_after
    )
