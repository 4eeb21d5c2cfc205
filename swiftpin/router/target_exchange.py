"""Exchange of one request and its answer with a target."""

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
    ConnectionFailedError,
    RequestNotSentError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.request_kind import RequestKind
from swiftpin.model.target import Target
from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.permits.rate_report import RateReport
from swiftpin.platform.request_head import (
    AnswerHead,
    decode_answer_head,
    encode_request_headers,
    is_answer_to,
)
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.call import Call
from swiftpin.router.caller_answer import MAX_BUFFERED_ANSWER
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.fleet_messages import LoadReport
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.poison_detector import PoisonDetector, compute_fingerprint
from swiftpin.router.received_answer import ReceivedAnswer
from swiftpin.router.retry_policy import RetryPolicy
from swiftpin.router.step_failure import StepFailure

MAX_IDLE_FOR_ONCE: Final = 1.0
"""Seconds for which a connection may have been idle before it carries a request that
must not run twice. Targets close idle connections, sometimes without notice, and a
request that is sent at that moment is lost."""

CONNECTION_DIVISOR: Final = 6
"""Each instance opens at most a target's connection limit divided by this."""

MIN_SEND_TIME: Final = 0.02
"""Seconds that must remain until the deadline for a request to be sent."""


class TargetExchange:
    """Sends a request under a permit, releases the permit and records the outcome."""

    def __init__(
        self,
        *,
        client: HttpClient,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        maps: KeyMaps,
        permits: PermitBroker,
        poison: PoisonDetector,
        retries: RetryPolicy,
        links: TargetLinks,
    ) -> None:
        self.load = LoadReport()
        """Load observed since the last report."""

        self._client = client
        self._configuration = configuration
        self._directory = directory
        self._maps = maps
        self._permits = permits
        self._poison = poison
        self._retries = retries
        self._links = links

    async def async_exchange(self, call: Call, permit: Permit) -> ReceivedAnswer | None:
        """Return the answer with the start of its body, or None if the send failed."""
        call.target = permit.target
        state = HttpSendState()
        began_at = asyncio.get_running_loop().time()
        try:
            received = await self._async_send(call, permit, state, began_at)
        except RequestNotSentError as err:
            if isinstance(err, ConnectionFailedError):
                self._links.record_failure(permit.target, str(err), suspend_aware_now())
            self._record_failed_send(
                call, permit, StepFailure.NOT_SENT, f"not sent: {err}"
            )
            return None
        except AnswerBrokenError as err:
            call.may_have_run = True
            self._record_failed_send(call, permit, StepFailure.BROKEN, f"broken: {err}")
            self._poison.on_suspect(
                request_fingerprint(call), permit.target, suspend_aware_now()
            )
            return None
        except BaseException:
            # The deadline passed or the caller disconnected.
            if state.written:
                call.may_have_run = True
                call.record_failure(
                    StepFailure.GIVEN_UP, f"{permit.target} had it to the end"
                )
            elapsed = asyncio.get_running_loop().time() - began_at
            self._permits.release(permit, elapsed, failed=False, abandoned=True)
            self.load.add_abandoned(call.service, permit.target, elapsed)
            raise
        finally:
            call.sends += state.written
            call.is_at_target = False
        return received

    async def _async_send(
        self, call: Call, permit: Permit, state: HttpSendState, began_at: float
    ) -> ReceivedAnswer | None:
        """Send the request and read the start of the answer."""
        target = self._directory.targets_by_id.get(permit.target)
        time_left = call.ends_at - began_at
        if target is None or time_left < MIN_SEND_TIME:
            raise RequestNotSentError(f"{permit.target} is gone, or no time is left")
        asked_at = suspend_aware_now()
        request = call.request
        headers = encode_request_headers(
            request.headers.items(),
            request.headers.get(HOST, ""),
            target.name,
            time_left,
        )
        is_once = call.route.kind is RequestKind.ONCE
        answer = await self._client.async_exchange(
            target.address,
            HttpRequest(
                method=request.method,
                path=request.raw_path,
                headers=headers,
                body=call.body,
            ),
            state,
            partial(self._check_target, call, permit),
            connections=self._connection_limit(call.service),
            check=partial(is_answer_to, call.head.id),
            max_idle=MAX_IDLE_FOR_ONCE if is_once else math.inf,
        )
        self._links.record_answer(permit.target, suspend_aware_now())
        head = decode_answer_head(answer.status, answer.headers)
        self._record_rate_limit(target, head, asked_at)
        if head.not_executed:
            return self._handle_refusal(call, permit, answer, head)
        return await self._async_receive(call, permit, answer, head, began_at)

    async def _async_receive(
        self,
        call: Call,
        permit: Permit,
        answer: HttpAnswer,
        head: AnswerHead,
        began_at: float,
    ) -> ReceivedAnswer:
        """Read the start of the answer to a request that was executed."""
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        answered_at = asyncio.get_running_loop().time()
        elapsed = answered_at - began_at
        # The target's work is done when the answer starts. Its slot is freed before the
        # body is transferred, since the transfer over a slow link takes longer than the
        # work itself.
        self._permits.release(permit, elapsed, failed=failed)
        try:
            if not head.is_signed and answer.status < HTTPStatus.MULTIPLE_CHOICES:
                raise AnswerBrokenError("a success without the target's signature")
            first_chunks = await _async_read_first_chunks(answer)
        except BaseException:
            answer.abort()
            raise
        self.load.add_duration(call.service, permit.target, None if failed else elapsed)
        call.status = answer.status
        return ReceivedAnswer(
            answer=answer, first_chunks=first_chunks, answer_began_at=answered_at
        )

    @callback
    def _record_rate_limit(
        self, target: Target, head: AnswerHead, asked_at: float
    ) -> None:
        """Record the rate limit that a target named in an answer, or that it has none.

        `asked_at` is a time before the request was sent.
        """
        if head.rate_limit is None or head.instance not in (None, target.name):
            return
        now = suspend_aware_now()
        report = RateReport(limit=head.rate_limit, sent_at=asked_at, received_at=now)
        self._permits.rate_reports.add(target.id, report, now, source="answer")

    @callback
    def _check_target(self, call: Call, permit: Permit, now: float) -> None:
        """Raise `RequestNotSentError` if the request must no longer be sent.

        The request may have waited for a slot and a connection since the target was
        chosen. A leaving target must not receive requests after its drain time, and the
        permit for one with a rate limit may have expired.
        """
        sent_at = suspend_aware_now()
        if not self._directory.may_send(permit.target, sent_at):
            raise RequestNotSentError(f"{permit.target} has left")
        if not self._permits.is_valid(permit, sent_at):
            raise RequestNotSentError(
                f"{permit.target} has a rate limit and the permit has expired"
            )
        self._retries.record_send(call, sent_at)
        call.is_at_target = True

    @callback
    def _handle_refusal(
        self, call: Call, permit: Permit, answer: HttpAnswer, head: AnswerHead
    ) -> None:
        """Handle a target's refusal to run the request."""
        answer.abort()
        key = call.head.key
        is_key_denied = False
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST and key is not None:
            is_key_denied = True
            self._maps.record_denial(call.service, key, suspend_aware_now())
        target = self._directory.targets_by_id.get(permit.target)
        if target is not None and head.instance not in (None, target.name):
            # The target is gone and its address now belongs to another one.
            self._directory.mark_replaced(permit.target, suspend_aware_now())
            reason = f"replaced by {head.instance}"
            self._record_failed_send(call, permit, StepFailure.REPLACED, reason)
            return
        reason = f"refused: {answer.status}"
        if not is_key_denied:
            self._record_failed_send(call, permit, StepFailure.REFUSED, reason)
            return
        # The key is being moved away or its grant has expired; the target itself is
        # healthy. If such refusals counted as failures, a target that has just lost
        # keys would seem to have less capacity, and more of its keys would be moved.
        self._permits.release(permit, 0.0, failed=False)
        self._record_step_failure(call, permit, StepFailure.REFUSED, reason)

    @callback
    def _record_failed_send(
        self, call: Call, permit: Permit, failure: StepFailure, reason: str
    ) -> None:
        """Record a send that got no answer and release its permit as failed."""
        self._record_step_failure(call, permit, failure, reason)
        self._permits.release(permit, 0.0, failed=True)
        self.load.add_duration(call.service, permit.target, None)

    @callback
    def _record_step_failure(
        self, call: Call, permit: Permit, failure: StepFailure, reason: str
    ) -> None:
        """Record why a request has to be sent again."""
        call.failed_target = permit.target
        call.record_failure(failure, f"{permit.target} {reason}")

    @callback
    def _connection_limit(self, service: str) -> int:
        """Return the maximum number of connections of this instance to one target."""
        configuration = self._configuration.current
        spec = configuration.services_by_name.get(service) if configuration else None
        target_limit = spec.max_connections if spec is not None else CONNECTION_DIVISOR
        return max(target_limit // CONNECTION_DIVISOR, 2)


@callback
def request_fingerprint(call: Call) -> int:
    """Return a fingerprint that is the same for every resend of the request."""
    request = call.request
    return compute_fingerprint(
        request.host, request.raw_path, call.head.key, call.body.head
    )


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
