"""Exchange of one request and its answer with a target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
import math
from typing import Final

from aiohttp.hdrs import HOST

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    ConnectionFailedError,
    ExchangeError,
    RequestNotSentError,
    SendNotAllowedError,
    TargetBackoffError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.request_kind import RequestKind
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.model.target import Target
from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.platform.request_head import (
    encode_request_headers,
    is_answer_to,
)
from swiftpin.poison.open_sends import OpenSend, OpenSends
from swiftpin.poison.send_outcome import SendOutcome
from swiftpin.poison.suspicion import UnansweredSend
from swiftpin.relays.relay_client import RelayedAnswerBrokenError
from swiftpin.relays.relay_terms import RelayTerms
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.call import Call
from swiftpin.router.caller_answer import (
    MAX_BUFFERED_ANSWER,
    MAX_LATE_DELIVERY,
    MAX_RELAYED_ANSWER,
)
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.connection_limit import MAX_IDLE_FOR_ONCE, connection_limit
from swiftpin.router.fleet_messages import LoadReport
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.permit_use import BegunAnswer, PermitUse
from swiftpin.router.received_answer import ReceivedAnswer
from swiftpin.router.retry_policy import RetryPolicy
from swiftpin.router.silent_link import SilentLinkError, SilentLinkInterrupt
from swiftpin.router.step_failure import StepFailure
from swiftpin.router.target_client import TargetAnswer, TargetSend
from swiftpin.router.target_ways import (
    OutgoingRequest,
    TargetWays,
    UnconfirmedConnectionError,
)

SETTLE_MARGIN: Final = 0.2
"""Seconds after a request's deadline within which its target stops working on it."""

MIN_SEND_TIME: Final = 0.02
"""Seconds that must remain until the deadline for a request to be sent."""


class TargetExchange:
    """Sends a request under a permit, releases the permit and records the outcome."""

    def __init__(
        self,
        *,
        ways: TargetWays,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        maps: KeyMaps,
        permits: PermitBroker,
        open_sends: OpenSends,
        retries: RetryPolicy,
        links: TargetLinks,
    ) -> None:
        self.load = LoadReport()
        """Load observed since the last report."""

        self._ways = ways
        self._configuration = configuration
        self._directory = directory
        self._maps = maps
        self._permits = permits
        self._open_sends = open_sends
        self._retries = retries
        self._links = links

    async def async_exchange(self, call: Call, permit: Permit) -> ReceivedAnswer | None:
        """Return the answer with the start of its body, or None if the send failed."""
        call.target = permit.target
        call.relay = ""
        state = HttpSendState()
        use = PermitUse(self._permits, permit, self._open_sends, state)
        began_at = asyncio.get_running_loop().time()
        try:
            with SilentLinkInterrupt() as interrupt:
                received = await self._async_send(
                    call,
                    use,
                    state,
                    began_at,
                    partial(_on_silent, call, use, interrupt),
                )
        except RequestNotSentError as err:
            self._record_not_sent(call, use, err)
            return None
        except SilentLinkError as err:
            call.may_have_run = True
            self._record_step_failure(call, permit, StepFailure.LINK_LOST, str(err))
            return None
        except AnswerBrokenError as err:
            call.may_have_run = True
            self._record_broken(call, use, err)
            return None
        except BaseException:
            # The deadline passed or the caller disconnected.
            if state.written:
                call.may_have_run = True
                call.record_failure(
                    StepFailure.GIVEN_UP, f"{permit.target} had it to the end"
                )
            elapsed = asyncio.get_running_loop().time() - began_at
            if not use.is_link_silent:
                self.load.add_abandoned(call.service, permit.target, elapsed)
            use.release(elapsed, failed=False, abandoned=True)
            raise
        finally:
            call.sends += state.written
            call.is_at_target = False
        return received

    async def _async_send(
        self,
        call: Call,
        use: PermitUse,
        state: HttpSendState,
        began_at: float,
        on_silent: Callable[[], None],
    ) -> ReceivedAnswer | None:
        """Send the request and read the start of the answer."""
        permit = use.permit
        target = self._directory.targets_by_id.get(permit.target)
        time_left = call.ends_at - began_at
        if target is None or time_left < MIN_SEND_TIME:
            raise RequestNotSentError(f"{permit.target} is gone, or no time is left")
        is_once = call.route.kind is RequestKind.ONCE
        outgoing = OutgoingRequest(
            send=TargetSend(
                target=target,
                state=state,
                check=partial(is_answer_to, call.head.id),
                permit_until=self._permits.valid_until(permit),
                ends_at=call.ends_at,
                fingerprint=call.fingerprint,
                on_write=partial(self._record_write, call, use),
            ),
            make_request=partial(_make_request, call, target),
            can_be_sent=lambda: call.body.can_be_sent,
            terms=partial(self._relay_terms, call, permit),
            connections=connection_limit(self._service(call.service)),
            max_idle=MAX_IDLE_FOR_ONCE if is_once else math.inf,
            on_silent=on_silent,
            has_alternatives=partial(self._has_alternatives, call, permit),
        )
        try:
            answer = await self._ways.async_exchange(outgoing)
        finally:
            _record_way(call, outgoing)
        if answer.head.not_executed:
            return self._handle_refusal(call, use, answer)
        return await self._async_receive(call, use, answer, began_at)

    async def _async_receive(
        self,
        call: Call,
        use: PermitUse,
        received: TargetAnswer,
        began_at: float,
    ) -> ReceivedAnswer:
        """Read the start of the answer to a request that was executed."""
        answer = received.http
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        answered_at = asyncio.get_running_loop().time()
        elapsed = answered_at - began_at
        # The target's work is done when the answer starts. Its slot is freed before the
        # body is transferred, since the transfer over a slow link takes longer than the
        # work itself.
        is_success = answer.status < HTTPStatus.MULTIPLE_CHOICES
        is_proof = received.head.is_signed and not failed
        begun = BegunAnswer(is_proof=is_proof, is_complete=answer.is_received)
        use.begin_answer(elapsed, failed=failed, answer=begun)
        try:
            if is_success and not received.head.is_signed:
                raise AnswerBrokenError("a success without the target's signature")
            deadline = max(call.ends_at, call.started_at + call.head.deadline)
            answer.limit_body(MAX_RELAYED_ANSWER, deadline + MAX_LATE_DELIVERY)
            first_chunks = await _async_read_first_chunks(answer)
        except BaseException:
            answer.abort()
            raise
        if not use.is_link_silent:
            self.load.add_duration(
                call.service, use.permit.target, None if failed else elapsed
            )
        call.status = answer.status
        return ReceivedAnswer(
            answer=answer,
            first_chunks=first_chunks,
            answer_began_at=answered_at,
            on_finish=use.finish,
        )

    @callback
    def _record_write(self, call: Call, use: PermitUse) -> None:
        """Record that a request is written to its target now."""
        now = suspend_aware_now()
        self._retries.record_send(call, now)
        call.is_at_target = True
        time_left = call.ends_at - asyncio.get_running_loop().time()
        send = UnansweredSend(
            fingerprint=call.fingerprint,
            target=use.permit.target,
            sent_at=now,
            settles_at=now + time_left + SETTLE_MARGIN,
        )
        use.begin_send(
            OpenSend(
                send=send,
                is_owner=partial(self._is_owner, call, use.permit),
                is_issuer=partial(self._permits.is_issuer, use.permit),
            )
        )

    @callback
    def _is_owner(self, call: Call, permit: Permit) -> bool:
        """Return whether a permit's target still owns the key of a request."""
        key = call.head.key
        if not permit.is_for_owner or key is None:
            return True
        return self._maps.owner_of(call.service, key) == permit.target

    @callback
    def _handle_refusal(self, call: Call, use: PermitUse, answer: TargetAnswer) -> None:
        """Handle a target's refusal to run the request."""
        permit = use.permit
        head = answer.head
        answer.http.abort()
        key = call.head.key
        is_key_denied = False
        if head.status == HTTPStatus.MISDIRECTED_REQUEST and key is not None:
            is_key_denied = True
            self._maps.record_denial(call.service, key, suspend_aware_now())
        target = self._directory.targets_by_id.get(permit.target)
        if target is not None and head.instance not in (None, target.name):
            # The target is gone and its address now belongs to another one.
            self._directory.mark_replaced(permit.target, suspend_aware_now())
            reason = f"replaced by {head.instance}"
            self._record_failed_send(
                call, use, StepFailure.REPLACED, reason, outcome=SendOutcome.NOT_RUN
            )
            return
        reason = f"refused: {head.status}"
        if head.retry_after is not None:
            reason = f"{reason}, retry after {head.retry_after:g} s"
        if not is_key_denied:
            self._record_failed_send(
                call, use, StepFailure.REFUSED, reason, outcome=SendOutcome.NOT_RUN
            )
            return
        # The key is being moved away or its grant has expired; the target itself is
        # healthy. If such refusals counted as failures, a target that has just lost
        # keys would seem to have less capacity, and more of its keys would be moved.
        use.release(0.0, failed=False, outcome=SendOutcome.NOT_RUN)
        self._record_step_failure(call, permit, StepFailure.REFUSED, reason)

    @callback
    def _record_not_sent(
        self, call: Call, use: PermitUse, err: RequestNotSentError
    ) -> None:
        """Record a request that was not sent."""
        is_backoff = isinstance(err, TargetBackoffError)
        is_unreachable = isinstance(err, ConnectionFailedError)
        counts = self._counts_against(use.permit.target, err)
        if is_unreachable:
            call.unreachable_targets.add(use.permit.target)
        self._record_failed_send(
            call,
            use,
            StepFailure.BACKOFF if is_backoff else StepFailure.NOT_SENT,
            f"not sent: {err}",
            failed=counts,
            unreachable=is_unreachable and counts,
        )

    @callback
    def _record_broken(
        self, call: Call, use: PermitUse, err: AnswerBrokenError
    ) -> None:
        """Record a request that was sent and got no complete answer."""
        target = use.permit.target
        counts = self._counts_against(target, err)
        self._record_failed_send(
            call, use, StepFailure.BROKEN, f"broken: {err}", failed=counts
        )
        if counts:
            self._ways.probe(target)

    @callback
    def _counts_against(self, target: str, err: ExchangeError) -> bool:
        """Return whether a failure counts against a target for all instances.

        Others may reach a target whose link to this instance is lost, and a relay may
        fail behind which the target is well.
        """
        match err:
            case SendNotAllowedError():
                # This instance withheld the request; the target knows nothing of it.
                return False
            case RelayedAnswerBrokenError() | UnconfirmedConnectionError():
                return False
            case ConnectionFailedError() | AnswerBrokenError():
                now = suspend_aware_now()
                return not self._links.is_reached_by_others(target, now)
        return True

    @callback
    def _record_failed_send(
        self,
        call: Call,
        use: PermitUse,
        failure: StepFailure,
        reason: str,
        *,
        failed: bool = True,
        unreachable: bool = False,
        outcome: SendOutcome = SendOutcome.UNANSWERED,
    ) -> None:
        """Record a send that was not served and release its permit.

        `failed` tells whether it counts as a failure of the target, and `unreachable`
        whether the target can't be connected to.
        """
        self._record_step_failure(call, use.permit, failure, reason)
        use.release(0.0, failed=failed, unreachable=unreachable, outcome=outcome)
        if failed:
            self.load.add_duration(call.service, use.permit.target, None)

    @callback
    def _has_alternatives(self, call: Call, permit: Permit) -> bool:
        """Return whether another target may run a request that a target can't get."""
        if permit.is_for_owner:
            return False
        excluded = call.unreachable_targets | {permit.target}
        targets = self._directory.serving_targets(call.service, suspend_aware_now())
        return any(target.id not in excluded for target in targets)

    @callback
    def _service(self, name: str) -> ServiceSpec | None:
        """Return the specification of a service, None if it is unknown."""
        configuration = self._configuration.current
        return configuration.services_by_name.get(name) if configuration else None

    @callback
    def _relay_terms(self, call: Call, permit: Permit) -> RelayTerms:
        """Return the conditions under which a relay may send a request."""
        valid_until = self._permits.valid_until(permit)
        return RelayTerms(
            target=permit.target,
            is_once=call.route.kind is RequestKind.ONCE,
            permit_left=(
                None if valid_until is None else valid_until - suspend_aware_now()
            ),
            fingerprint=call.fingerprint,
        )

    @callback
    def _record_step_failure(
        self, call: Call, permit: Permit, failure: StepFailure, reason: str
    ) -> None:
        """Record why a request has to be sent again."""
        call.failed_target = permit.target
        call.record_failure(failure, f"{permit.target} {reason}")


@callback
def _make_request(call: Call, target: Target) -> HttpRequest:
    """Return the request to a target, with the time that is left now."""
    request = call.request
    return HttpRequest(
        method=request.method,
        path=request.raw_path,
        headers=encode_request_headers(
            request.headers.items(),
            request.headers.get(HOST, ""),
            target.name,
            call.ends_at - asyncio.get_running_loop().time(),
        ),
        body=call.body,
    )


@callback
def _on_silent(call: Call, use: PermitUse, interrupt: SilentLinkInterrupt) -> None:
    """Handle that the link is lost on which a request awaits its answer.

    The target has finished the request or never got it, so others may use the slot. An
    idempotent request is sent again; the answer to another one may still arrive.
    """
    use.release_silent()
    if call.route.kind is RequestKind.IDEMPOTENT:
        interrupt.interrupt()


@callback
def _record_way(call: Call, outgoing: OutgoingRequest) -> None:
    """Record the relay that a request was sent through, for its log line."""
    if outgoing.relay is None:
        return
    call.relay = outgoing.relay.address
    call.relay_evidence_age = outgoing.link_evidence_age


async def _async_read_first_chunks(answer: HttpAnswer) -> list[bytes]:
    """Return the complete body if it is short enough to buffer, else its start."""
    chunks = []
    size = 0
    while size <= MAX_BUFFERED_ANSWER and not answer.is_read:
        chunk = await answer.async_read_chunk()
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
    return chunks
