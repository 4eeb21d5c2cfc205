"""Routing of one request to its target."""

from __future__ import annotations

import asyncio

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.retry_budget import RetryBudget
from swiftpin.exceptions import (
    NoOwnerError,
    NotHolderError,
    NotRunError,
    RequestError,
    RetryBudgetSpentError,
)
from swiftpin.gateway.balanced_dispatcher import BalancedDispatcher
from swiftpin.gateway.exchange import Exchange
from swiftpin.gateway.forwarder import Forwarder
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.metrics import Metrics
from swiftpin.gateway.once_dispatcher import OnceDispatcher
from swiftpin.gateway.ports import Ownership
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
        balanced_dispatcher: BalancedDispatcher,
        forwarder: Forwarder,
        retries: RetryPolicy,
        metrics: Metrics,
    ) -> None:
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._once_dispatcher = once_dispatcher
        self._balanced_dispatcher = balanced_dispatcher
        self._forwarder = forwarder
        self._retries = retries
        self._metrics = metrics

    async def async_serve(self, exchange: Exchange) -> None:
        """Get the request answered, or raise a `RequestError`."""
        now = monotonic_now()
        incoming = exchange.incoming
        self._budget(incoming, now).record_first_try()
        if not incoming.service.keyed:
            await self._async_serve_balanced(exchange)
            return
        route = await self._async_first_route(exchange)
        while True:
            exchange.record.route = route
            exchange.record.attempts += 1
            exchange.record.looked_up = False
            try:
                await self._async_try(exchange, route)
            except RequestError as err:
                self._check_retry(err, exchange)
                route = await self._async_next_route(err, exchange, route)
                self._spend_retry(err, incoming)
            else:
                return

    async def _async_serve_balanced(self, exchange: Exchange) -> None:
        """Get a request answered for which any target will do."""
        tried: set[str] = set()
        while True:
            exchange.record.attempts += 1
            try:
                await self._balanced_dispatcher.async_dispatch(exchange, tried)
            except RequestError as err:
                self._check_retry(err, exchange)
                if len(tried) >= len(exchange.incoming.service.targets_by_id):
                    raise
                await self._async_back_off(err, exchange)
                self._spend_retry(err, exchange.incoming)
            else:
                return

    async def _async_try(self, exchange: Exchange, route: Route) -> None:
        """Send the request along the route, once."""
        incoming = exchange.incoming
        if route.forward_address is not None:
            if incoming.forwarded:
                raise NotHolderError("this instance does not hold the group")
            await self._forwarder.async_forward(exchange, route.forward_address)
        elif incoming.request_class.repeatable:
            await self._dispatcher.async_dispatch(exchange, route)
        else:
            await self._once_dispatcher.async_dispatch(exchange, route)

    @callback
    def _check_retry(self, err: RequestError, exchange: Exchange) -> None:
        """Raise the error when the request can't or mustn't be sent again."""
        exchange.record.may_have_run |= err.executed is not Executed.NO
        if exchange.writer.begun or not exchange.body.can_be_sent:
            raise err
        if not self._retries.allows(err, exchange.incoming):
            raise err

    async def _async_first_route(self, exchange: Exchange) -> Route:
        """Return the key's route; wait a little while there is none.

        When a lease is renewed or handed over, keys have no owner for some
        milliseconds; refused at once, callers would stay away for a whole second.
        """
        incoming = exchange.incoming
        while True:
            try:
                return self._ownership.resolve(
                    incoming.service, incoming.key, monotonic_now()
                )
            except NoOwnerError as err:
                exchange.record.attempts += 1
                await self._async_back_off(err, exchange)

    async def _async_next_route(
        self, err: RequestError, exchange: Exchange, route: Route
    ) -> Route:
        """Return the route for another attempt; raise the error when there is none."""
        while True:
            await self._async_back_off(err, exchange)
            fresh = self._fresh_route(exchange.incoming)
            if fresh is not None and (
                not self._retries.needs_other_route(err) or not _is_same(fresh, route)
            ):
                return fresh
            exchange.record.attempts += 1

    async def _async_back_off(self, err: RequestError, exchange: Exchange) -> None:
        """Wait before another attempt; raise the error when none is left."""
        attempts = exchange.record.attempts
        incoming = exchange.incoming
        if attempts >= incoming.profile.max_attempts:
            raise err
        delay = self._retries.delay(attempts)
        if monotonic_now() + delay >= incoming.deadline:
            raise err
        await asyncio.sleep(delay)

    @callback
    def _spend_retry(self, err: RequestError, incoming: IncomingRequest) -> None:
        """Take the retry out of the service's budget; raise when it is spent."""
        now = monotonic_now()
        if not self._budget(incoming, now).spend(now):
            raise _budget_spent(err) from err
        self._metrics.count_retry(incoming.service.name)

    @callback
    def _budget(self, incoming: IncomingRequest, now: float) -> RetryBudget:
        """Return the retry budget of the request's service."""
        return self._retries.budget(incoming.service.name, incoming.profile, now)

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
