"""Sending of requests to targets, with retries where they are allowed."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.exceptions import AnswerLostError, NotRunError, QueueFullError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.bounds import Bounds
from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.permits.permit_query import PermitQuery
from swiftpin.router.answer_way import AnswerWay
from swiftpin.router.call import Call
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.decision_basis import read_basis
from swiftpin.router.exceptions import PoisonRequestError
from swiftpin.router.fleet_messages import LoadReport
from swiftpin.router.fleet_size import FleetSize
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.owner_finder import OwnerFinder
from swiftpin.router.poison_watch import PoisonWatch
from swiftpin.router.received import Received
from swiftpin.router.retry_policy import RetryPolicy
from swiftpin.router.step_failure import StepFailure
from swiftpin.router.target_exchange import TargetExchange, fingerprint

POISON_RETRY: Final = 5.0
"""Seconds that a caller is told whose request crashes targets; sooner is of no use."""

MOST_TRIES: Final = 6
"""Tries of one request, those included that reached no target."""


class RequestSender:
    """Has a request sent to its target, and tries again where that is safe."""

    def __init__(
        self,
        *,
        client: HttpClient,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        maps: KeyMaps,
        permits: PermitBroker,
        bounds: Bounds,
        poison: PoisonWatch,
        fleet_size: FleetSize,
    ) -> None:
        self.retries = RetryPolicy(bounds, fleet_size)
        self.answer_way = AnswerWay()
        self._owners = OwnerFinder(
            configuration=configuration, directory=directory, maps=maps
        )
        self._exchange = TargetExchange(
            client=client,
            configuration=configuration,
            directory=directory,
            maps=maps,
            permits=permits,
            poison=poison,
            retries=self.retries,
        )
        self._directory = directory
        self._maps = maps
        self._permits = permits
        self._poison = poison

    @callback
    def take_load(self) -> LoadReport:
        """Return what was noted since the last call."""
        report, self._exchange.load = self._exchange.load, LoadReport()
        return report

    async def async_send(self, call: Call) -> Received:
        """Return the answer of a target, its beginning read.

        Raises a `RequestError` that says truly whether the request ran.
        """
        now = suspend_aware_now()
        if self._poison.is_quarantined(fingerprint(call), now):
            raise PoisonRequestError(
                "the request crashed several targets", retry_after=POISON_RETRY
            )
        self.retries.record_first(call.service, now)
        if self._owners.is_keyed(call.service) and call.head.key is not None:
            self._exchange.load.add_key(call.service, call.head.key)
        try:
            return await self._async_try_all(call)
        except NotRunError as err:
            if not call.may_have_run:
                raise
            # What ended the last try did not run it; an earlier one may have.
            raise AnswerLostError(f"an earlier answer was lost; {err.hint}") from err
        finally:
            self.retries.release(call)

    async def _async_try_all(self, call: Call) -> Received:
        """Try until there is an answer, or nothing more may be tried."""
        loop = asyncio.get_running_loop()
        for _ in range(MOST_TRIES):
            received = await self._async_try(call)
            if received is None:
                self.retries.check_may_retry(call, suspend_aware_now())
                continue
            status = received.answer.status
            left = call.ends_at - loop.time()
            if not self.retries.is_worth_retry(call, status, left, suspend_aware_now()):
                return received
            call.note(StepFailure.TARGET_FAILED, f"{call.target} answered {status}")
            call.failed_target = call.target
            received.finish(loop.time())
        raise self.retries.failure(call)

    async def _async_try(self, call: Call) -> Received | None:
        """Try once; return None when that failed."""
        call.basis = None
        owner = ""
        if self._owners.is_keyed(call.service):
            owner = await self._owners.async_find(call)
        permit = await self._async_permit(call, owner)
        if permit is None:
            call.note(StepFailure.MOVED, f"moved from {owner}")
            return None
        call.basis = read_basis(self._maps, self._directory, call.service)
        return await self._exchange.async_exchange(call, permit)

    async def _async_permit(self, call: Call, owner: str) -> Permit | None:
        """Return a permit to send, None when the owner is another one by now.

        Raises `QueueFullError` when there is none.
        """
        now = asyncio.get_running_loop().time()
        try:
            asked = await self._permits.async_ask(
                PermitQuery(
                    service=call.service,
                    target=owner,
                    avoided=call.failed_target,
                    priority=call.route.priority,
                    objective_at=call.objective_at
                    - self.answer_way.usual(call.service, call.route.kind),
                    ends_at=call.ends_at,
                    is_current=partial(self._owners.is_owner, call, owner),
                )
            )
        finally:
            # Also when the caller leaves: its line tells what its time went on.
            call.waited += asyncio.get_running_loop().time() - now
        if asked is None:
            return None
        decision, permit = asked
        if permit is None:
            call.note(StepFailure.NO_SLOT, f"no slot at {owner or 'any target'}")
            raise QueueFullError(
                "the targets have no room in time", retry_after=decision.retry_after
            )
        return permit
