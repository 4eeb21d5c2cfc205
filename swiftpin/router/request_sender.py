"""Sending of requests to targets, with retries where allowed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import (
    AnswerLostError,
    NotRunError,
    QueueFullError,
    SuspectedRequestError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.bounds import Bounds
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_query import PermitQuery
from swiftpin.poison.fingerprint import compute_fingerprint
from swiftpin.poison.open_sends import OpenSends
from swiftpin.poison.suspect_table import SuspectTable
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.backoff_waits import BackoffWaits
from swiftpin.router.call import Call
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.decision_basis import current_basis
from swiftpin.router.exceptions import PoisonRequestError
from swiftpin.router.fleet_messages import LoadReport
from swiftpin.router.fleet_size import FleetSize
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.owner_finder import OwnerFinder
from swiftpin.router.received_answer import ReceivedAnswer
from swiftpin.router.retry_policy import RetryPolicy
from swiftpin.router.send_cutoff import SendCutoff
from swiftpin.router.step_failure import StepFailure
from swiftpin.router.target_exchange import TargetExchange
from swiftpin.router.target_ways import TargetWays
from swiftpin.router.transfer_times import TransferTimes

QUARANTINED_RETRY_AFTER: Final = 5.0
"""Seconds after which a caller may retry a quarantined request. The quarantine lasts
longer, so an earlier retry would be refused as well."""

MAX_TRIES: Final = 6
"""Maximum tries of one request, not including the first at each target to which no
connection could be opened."""


class RequestSender:
    """Sends a request to a target and retries where that is safe."""

    def __init__(
        self,
        *,
        ways: TargetWays,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        maps: KeyMaps,
        permits: PermitBroker,
        bounds: Bounds,
        suspects: SuspectTable,
        open_sends: OpenSends,
        on_refused: Callable[[int], None],
        fleet_size: FleetSize,
        links: TargetLinks,
        backoffs: TargetBackoffs,
        may_move_keys: Callable[[], bool],
        cutoff: SendCutoff,
    ) -> None:
        self.retries = RetryPolicy(bounds, fleet_size)
        self.transfer_times = TransferTimes()
        self._backoff_waits = BackoffWaits(directory=directory, backoffs=backoffs)
        self._owners = OwnerFinder(
            configuration=configuration,
            directory=directory,
            maps=maps,
            backoffs=backoffs,
            backoff_waits=self._backoff_waits,
            may_move_keys=may_move_keys,
        )
        self._exchange = TargetExchange(
            ways=ways,
            configuration=configuration,
            directory=directory,
            maps=maps,
            permits=permits,
            open_sends=open_sends,
            retries=self.retries,
            links=links,
        )
        self._directory = directory
        self._maps = maps
        self._permits = permits
        self._suspects = suspects
        self._cutoff = cutoff
        self._on_refused = on_refused
        """Called with the fingerprint of a quarantined request that was resent."""

        self._backoffs = backoffs

    @callback
    def record_backoff(self, service: str, target: str, seconds: float) -> None:
        """Record that a target asked for a back-off period, for the load report."""
        self._exchange.load.add_backoff(service, target, seconds)

    @callback
    def pop_load_report(self) -> LoadReport:
        """Return the load observed since the last call and start a new report."""
        report, self._exchange.load = self._exchange.load, LoadReport()
        return report

    async def async_send(self, call: Call) -> ReceivedAnswer:
        """Return the answer of a target with the start of its body.

        Raises a `RequestError` that states correctly whether the request was executed.
        """
        now = suspend_aware_now()
        call.fingerprint = _compute_fingerprint(call)
        self._check_quarantine(call, now)
        self.retries.count_request(call.service, now)
        if self._owners.is_keyed(call.service) and call.head.key is not None:
            self._exchange.load.add_key(call.service, call.head.key)
        try:
            return await self._async_try_repeatedly(call)
        except NotRunError as err:
            if not call.may_have_run:
                raise
            # The last try did not execute the request, but an earlier one may have.
            raise AnswerLostError(f"an earlier answer was lost; {err.hint}") from err
        finally:
            self.retries.release(call)

    @callback
    def _check_quarantine(self, call: Call, now: float) -> None:
        """Raise `PoisonRequestError` if a request is quarantined."""
        if not self._suspects.record_resend(call.fingerprint, now):
            return
        self._on_refused(call.fingerprint)
        raise PoisonRequestError(
            "the request crashed several targets", retry_after=QUARANTINED_RETRY_AFTER
        )

    async def _async_try_repeatedly(self, call: Call) -> ReceivedAnswer:
        """Try until there is an answer or no retry is allowed."""
        loop = asyncio.get_running_loop()
        tries = 0
        while tries < MAX_TRIES:
            unreachable = len(call.unreachable_targets)
            received = await self._async_try(call)
            if received is None:
                self.retries.check_retry_allowed(call, suspend_aware_now())
                if len(call.unreachable_targets) == unreachable:
                    # The first failure at each unreachable target costs no try.
                    tries += 1
                continue
            tries += 1
            status = received.answer.status
            time_left = call.ends_at - loop.time()
            if not self.retries.should_retry_answer(
                call, status, time_left, suspend_aware_now()
            ):
                return received
            call.record_failure(
                StepFailure.TARGET_FAILED, f"{call.target} answered {status}"
            )
            call.failed_target = call.target
            received.finish(loop.time())
        raise self.retries.final_error(call)

    async def _async_try(self, call: Call) -> ReceivedAnswer | None:
        """Try once; return None if the try failed."""
        call.basis = None
        self._cutoff.check(call.ends_at)
        self._check_quarantine(call, suspend_aware_now())
        owner = ""
        if self._owners.is_keyed(call.service):
            owner = await self._owners.async_find(call)
        else:
            await self._backoff_waits.async_wait_for_any(call)
        permit = await self._async_permit(call, owner)
        if permit is None:
            return None
        call.basis = current_basis(self._maps, self._directory, call.service)
        return await self._exchange.async_exchange(call, permit)

    async def _async_permit(self, call: Call, owner: str) -> Permit | None:
        """Return a permit to send, or None if the key has a new owner by now.

        Raises `QueueFullError` if no slot will be free in time, `PoisonRequestError` or
        `SuspectedRequestError` if targets have or may have ended under the request.
        """
        asked_at = asyncio.get_running_loop().time()
        excluded: frozenset[str] = frozenset()
        if not owner:
            excluded = self._excluded_targets(call)
        try:
            permit_result = await self._permits.async_request_permit(
                PermitQuery(
                    excluded=excluded,
                    service=call.service,
                    target=owner,
                    fingerprint=call.fingerprint,
                    avoided=call.failed_target,
                    priority=call.route.priority,
                    objective_at=call.objective_at
                    - self.transfer_times.estimate(call.service, call.route.kind),
                    ends_at=call.ends_at,
                    caller=call.caller,
                    key=call.head.key if owner else None,
                    is_current=partial(self._owners.is_owner, call, owner),
                )
            )
        finally:
            # Also counted when the caller disconnects, for the log line.
            call.waited += asyncio.get_running_loop().time() - asked_at
        if permit_result is None:
            self._record_withdrawal(call, owner)
            return None
        decision, permit = permit_result
        if permit is None:
            self._check_quarantine(call, suspend_aware_now())
            self._record_rejection(call, owner, decision)
            if decision.is_suspected:
                raise SuspectedRequestError(
                    "targets may have ended under the request",
                    retry_after=decision.retry_after,
                )
            raise QueueFullError(
                "the targets have no room in time",
                retry_after=decision.retry_after,
            )
        return permit

    @callback
    def _excluded_targets(self, call: Call) -> frozenset[str]:
        """Return the targets to which a request without a key must not be sent now.

        If all others could not be reached either, they are tried again.
        """
        uncallable = self._backoff_waits.uncallable_targets(call.service)
        if not call.unreachable_targets:
            return uncallable
        excluded = uncallable | call.unreachable_targets
        targets = self._directory.serving_targets(call.service, suspend_aware_now())
        return uncallable if excluded.issuperset(it.id for it in targets) else excluded

    @callback
    def _record_withdrawal(self, call: Call, owner: str) -> None:
        """Record why a request no longer waits for a permit."""
        remaining = self._backoffs.remaining(owner, suspend_aware_now())
        if remaining:
            self._backoff_waits.record(call, owner, remaining)
        else:
            call.record_failure(StepFailure.MOVED, f"moved from {owner}")

    @callback
    def _record_rejection(
        self, call: Call, owner: str, decision: PermitDecision
    ) -> None:
        """Record why there was no permit: a rate limit with its age, or no slot."""
        name = owner or "any target"
        if decision.is_suspected:
            call.record_failure(
                StepFailure.SUSPECTED, f"withheld from {name}: suspected"
            )
            return
        if not decision.is_rate_limited:
            call.record_failure(StepFailure.NO_SLOT, f"no slot at {name}")
            return
        report = self._permits.rate_reports.report_for(owner)
        limit = "" if report is None else f": {report.describe(suspend_aware_now())}"
        call.record_failure(StepFailure.RATE_LIMITED, f"rate limit of {name}{limit}")


@callback
def _compute_fingerprint(call: Call) -> int:
    """Return the fingerprint of a request, before a streamed body is sent."""
    request = call.request
    return compute_fingerprint(
        caller=call.caller,
        method=request.method,
        host=request.host,
        path=request.raw_path,
        key=call.head.key,
        body=call.body.head,
    )
