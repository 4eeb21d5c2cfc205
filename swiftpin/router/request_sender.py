"""Sending of requests to targets, with retries where they are allowed."""

from __future__ import annotations

import asyncio
from functools import partial
from http import HTTPStatus
import math
from typing import Final

from aiohttp.hdrs import HOST

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    AnswerLostError,
    NoOwnerError,
    NotRunError,
    QueueFullError,
    RequestError,
    RequestNotSentError,
    RetryBudgetSpentError,
    TargetConnectError,
    TargetRefusedError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.bounds import Bounds
from swiftpin.model.request_kind import RequestKind
from swiftpin.permits.permit_broker import Permit, PermitBroker
from swiftpin.platform.request_head import (
    AnswerHead,
    decode_answer_head,
    encode_request_headers,
    is_answer_to,
)
from swiftpin.router.call import Call
from swiftpin.router.caller_answer import WHOLE_LIMIT
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.exceptions import PoisonRequestError
from swiftpin.router.fleet_messages import LoadReport
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.poison_watch import PoisonWatch, fingerprint_of
from swiftpin.router.received import Received
from swiftpin.router.window_budget import WindowBudget

OWNER_WAIT: Final = 0.5
"""Seconds for which a request waits for keys on the move. A move with a handover takes
about as long as one request; one that takes longer waits for a lost target's grant to
end, and then callers had better come back."""

OWNER_RETRY: Final = 0.4
"""Seconds after which a caller may come back whose key had no owner."""

REFUSED_RETRY: Final = 0.1
"""Seconds after which a caller may come back whose request a target refused: one that
sheds by chance takes the next, and the queue here tells the load of the others."""

POISON_RETRY: Final = 5.0
"""Seconds that a caller is told whose request crashes targets; sooner is of no use."""

ONCE_IDLE: Final = 1.0
"""Seconds for which a connection may have been idle that carries a request which must
not run twice: targets close idle connections, at times unannounced, and a request that
crosses the close is lost."""

SAME_TARGET_PAUSE: Final = 0.1
"""Seconds before the owner of a key is tried again after it failed: a lost target's
keys are on the move by then, and one that was full has ended a request."""

CONNECTION_SHARE: Final = 6
"""Part of a target's connections that one instance takes at most."""

MOST_TRIES: Final = 6
"""Tries of one request, those included that reached no target."""

RETRY_SHARE: Final = 0.3
"""Part of the objective that must be left for a try after a target's own failure; with
less, the failure is passed on as it is."""

SHORTEST_TIME: Final = 0.02
"""Seconds that must be left for a request to be sent at all."""


class RequestSender:
    """Chooses a target for a request, sends it, and tries again where that is safe.

    A request that must not run twice is sent again only when the last target certainly
    did not run it; one that may be repeated also after a failure. Second sends keep
    to the service's budget and to the route's number of attempts.
    """

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
    ) -> None:
        self.load = LoadReport()
        self.members = 1
        self._client = client
        self._configuration = configuration
        self._directory = directory
        self._maps = maps
        self._permits = permits
        self._bounds = bounds
        self._poison = poison
        self._budgets_by_service: dict[str, WindowBudget] = {}

    @callback
    def set_bounds(self, bounds: Bounds) -> None:
        """Begin to count by new bounds."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._budgets_by_service.clear()

    async def async_send(self, call: Call) -> Received:
        """Return the answer of a target, its beginning read.

        Raises a `RequestError` that says truly whether the request ran.
        """
        if self._poison.is_quarantined(self._fingerprint(call), suspend_aware_now()):
            raise PoisonRequestError(
                "the request crashed several targets", retry_after=POISON_RETRY
            )
        budget = self._budget(call.service)
        budget.record_first(suspend_aware_now())
        if self._is_keyed(call) and call.head.key is not None:
            self.load.add_key(call.service, call.head.key)
        try:
            return await self._async_try_all(call, budget)
        except NotRunError as err:
            if not call.may_have_run:
                raise
            # What ended the last try did not run it; an earlier one may have.
            raise AnswerLostError(f"an earlier answer was lost; {err.hint}") from err

    async def _async_try_all(self, call: Call, budget: WindowBudget) -> Received:
        """Try until there is an answer, or nothing more may be tried."""
        for _ in range(MOST_TRIES):
            received = await self._async_try(call)
            if received is None:
                self._check_may_retry(call, budget)
                continue
            if not self._is_worth_retry(call, received, budget):
                return received
            call.notes.append(f"{call.target} answered {received.answer.status}")
            call.failed_target = call.target
            received.finish(asyncio.get_running_loop().time())
        raise self._failure(call)

    @callback
    def _fingerprint(self, call: Call) -> int:
        """Return what is equal for every resend of the request."""
        request = call.request
        return fingerprint_of(
            request.host, request.raw_path, call.head.key, call.body.head
        )

    @callback
    def _is_keyed(self, call: Call) -> bool:
        """Return whether the request's service is divided by key."""
        configuration = self._configuration.current
        if configuration is None:
            return False
        service = configuration.services_by_name.get(call.service)
        return service is not None and service.is_keyed

    @callback
    def _check_may_retry(self, call: Call, budget: WindowBudget) -> None:
        """Raise the final error unless the request may be tried once more."""
        if call.may_have_run and call.route.kind is RequestKind.ONCE:
            raise self._failure(call)
        if not call.sends:
            return
        if call.sends >= call.route.attempts or not call.body.can_be_sent:
            raise self._failure(call)
        if not budget.spend(suspend_aware_now(), self.members):
            call.notes.append("no retry: budget spent")
            if call.may_have_run:
                raise self._failure(call)
            raise RetryBudgetSpentError(
                "the service's retries are used up", retry_after=REFUSED_RETRY
            )

    @callback
    def _is_worth_retry(
        self, call: Call, received: Received, budget: WindowBudget
    ) -> bool:
        """Return whether a target's failure is to be followed by another try.

        Some targets fail part of their requests while they count as healthy.
        """
        if received.answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        call.may_have_run = True
        left = call.ends_at - asyncio.get_running_loop().time()
        return (
            call.route.kind is RequestKind.IDEMPOTENT
            and call.sends < call.route.attempts
            and call.body.can_be_sent
            and left > call.route.objective * RETRY_SHARE
            and budget.spend(suspend_aware_now(), self.members)
        )

    @callback
    def _failure(self, call: Call) -> RequestError:
        """Return what the caller is told when nothing more is tried."""
        if call.may_have_run:
            return AnswerLostError("the target's answer was lost")
        if call.sends:
            return TargetRefusedError(
                "the target refused the request", retry_after=REFUSED_RETRY
            )
        return TargetConnectError(
            "the target could not be reached", retry_after=REFUSED_RETRY
        )

    async def _async_try(self, call: Call) -> Received | None:
        """Try once; return None when that failed."""
        owner = await self._async_owner(call) if self._is_keyed(call) else ""
        permit = await self._async_permit(call, owner)
        call.target = permit.target
        state = HttpSendState()
        began_at = asyncio.get_running_loop().time()
        try:
            received = await self._async_exchange(call, permit, state, began_at)
        except RequestNotSentError as err:
            self._note_failed(call, permit, f"not sent: {err}")
            return None
        except AnswerBrokenError as err:
            call.may_have_run = True
            self._note_failed(call, permit, f"broken: {err}")
            self._poison.on_suspect(self._fingerprint(call), permit.target)
            return None
        except BaseException:
            # The deadline passed or the caller left.
            if state.written:
                call.may_have_run = True
            elapsed = asyncio.get_running_loop().time() - began_at
            self._permits.end(permit, elapsed, failed=False, cut=True)
            self.load.add_cut(call.service, permit.target, elapsed)
            raise
        finally:
            call.sends += state.written
            call.is_sent = False
        return received

    async def _async_owner(self, call: Call) -> str:
        """Return the target that owns the request's key."""
        key = call.head.key
        if key is None:
            raise NoOwnerError("the request names no key", retry_after=OWNER_RETRY)
        loop = asyncio.get_running_loop()
        if call.failed_target:
            # The map may just be changing; else the owner gets a moment of rest.
            await self._async_wait_map(call, loop.time() + SAME_TARGET_PAUSE)
        until = min(loop.time() + OWNER_WAIT, call.ends_at)
        while True:
            owner = self._maps.owner_of(call.service, key)
            if self._is_served(call.service, key, owner):
                return owner
            if loop.time() >= until:
                call.notes.append(f"no owner: {owner or 'on the move'}")
                raise NoOwnerError("the key is on the move", retry_after=OWNER_RETRY)
            await self._async_wait_map(call, until)

    @callback
    def _is_served(self, service: str, key: int, owner: str) -> bool:
        """Return whether a request for a key may be sent to its owner."""
        now = suspend_aware_now()
        if not owner or not self._directory.may_send(owner, now):
            return False
        return not self._maps.is_denied(service, key, now)

    async def _async_wait_map(self, call: Call, until: float) -> None:
        """Wait until the service's key map changes, at most until a time."""
        try:
            async with asyncio.timeout_at(until):
                await self._maps.async_wait_change(call.service)
        except TimeoutError:
            return

    async def _async_permit(self, call: Call, owner: str) -> Permit:
        """Return a permit to send; raise `QueueFullError` when there is none."""
        now = asyncio.get_running_loop().time()
        try:
            decision, permit = await self._permits.async_ask(
                service=call.service,
                target=owner,
                avoided=call.failed_target,
                priority=call.route.priority,
                objective_at=call.objective_at,
                ends_at=call.ends_at,
                now=now,
            )
        finally:
            # Also when the caller leaves: its line tells what its time went on.
            call.waited += asyncio.get_running_loop().time() - now
        if permit is None:
            call.notes.append("no slot")
            raise QueueFullError(
                "the targets have no room in time", retry_after=decision.retry_after
            )
        return permit

    async def _async_exchange(
        self, call: Call, permit: Permit, state: HttpSendState, began_at: float
    ) -> Received | None:
        """Send the request and read the beginning of the answer."""
        target = self._directory.targets_by_id.get(permit.target)
        left = call.ends_at - began_at
        if target is None or left < SHORTEST_TIME:
            raise RequestNotSentError(f"{permit.target} is gone, or no time is left")
        request = call.request
        headers = encode_request_headers(
            request.headers.items(),
            request.headers.get(HOST, ""),
            target.name,
            left,
        )
        once = call.route.kind is RequestKind.ONCE
        answer = await self._client.async_exchange(
            target.address,
            HttpRequest(
                method=request.method,
                path=request.raw_path,
                headers=headers,
                body=call.body,
            ),
            state,
            partial(self._check_target, call, permit.target),
            connections=self._connections(call.service),
            check=partial(is_answer_to, call.head.id),
            max_idle=ONCE_IDLE if once else math.inf,
        )
        head = decode_answer_head(answer.status, answer.headers)
        if head.not_executed:
            return self._note_refused(call, permit, answer, head)
        return await self._async_take(call, permit, answer, head, began_at)

    async def _async_take(
        self,
        call: Call,
        permit: Permit,
        answer: HttpAnswer,
        head: AnswerHead,
        began_at: float,
    ) -> Received:
        """Read the beginning of an answer to a request that ran."""
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        elapsed = asyncio.get_running_loop().time() - began_at
        # The work is done once the answer begins: the slot is free while the body is
        # on its way, which takes longer than the work on slow links.
        self._permits.end(permit, elapsed, failed=failed)
        try:
            if not head.is_signed and answer.status < HTTPStatus.MULTIPLE_CHOICES:
                raise AnswerBrokenError("a success without the target's signature")
            first = await _async_read_first(answer)
        except BaseException:
            answer.abort()
            raise
        self.load.add_time(call.service, permit.target, None if failed else elapsed)
        call.status = answer.status
        return Received(answer=answer, first=first)

    @callback
    def _check_target(self, call: Call, target_id: str, now: float) -> None:
        """Hold a request back whose target has left while it waited.

        Time for a slot and for a connection may have passed since the target was
        chosen; one that announced its leaving gets nothing more after its drain time.
        """
        if not self._directory.may_send(target_id, suspend_aware_now()):
            raise RequestNotSentError(f"{target_id} has left")
        call.is_sent = True

    @callback
    def _note_refused(
        self, call: Call, permit: Permit, answer: HttpAnswer, head: AnswerHead
    ) -> None:
        """Note that a target did not run the request."""
        answer.abort()
        if (
            answer.status == HTTPStatus.MISDIRECTED_REQUEST
            and call.head.key is not None
        ):
            self._maps.note_denied(call.service, call.head.key, suspend_aware_now())
        reason = f"refused: {answer.status}"
        target = self._directory.targets_by_id.get(permit.target)
        if target is not None and head.instance not in (None, target.name):
            # The target is gone and its address belongs to another one by now.
            reason = f"replaced by {head.instance}"
            self._directory.note_replaced(permit.target, suspend_aware_now())
        self._note_failed(call, permit, reason)

    @callback
    def _note_failed(self, call: Call, permit: Permit, reason: str) -> None:
        """Note a send that brought no answer."""
        call.failed_target = permit.target
        call.notes.append(f"{permit.target} {reason}")
        self._permits.end(permit, 0.0, failed=True)
        self.load.add_time(call.service, permit.target, None)

    @callback
    def _connections(self, service: str) -> int:
        """Return how many connections to one target this instance may open."""
        configuration = self._configuration.current
        spec = configuration.services_by_name.get(service) if configuration else None
        most = spec.max_connections if spec is not None else CONNECTION_SHARE
        return max(most // CONNECTION_SHARE, 2)

    @callback
    def _budget(self, service: str) -> WindowBudget:
        """Return the budget for second sends to a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._budgets_by_service[service] = WindowBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window=bounds.retry_window,
            )
        return budget


async def _async_read_first(answer: HttpAnswer) -> list[bytes]:
    """Return the body if it is short enough to be held, else its beginning."""
    chunks = []
    size = 0
    while size <= WHOLE_LIMIT and not answer.is_read:
        chunk = await answer.async_read_chunk()
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
    return chunks
