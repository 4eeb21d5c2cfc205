"""Passing on of other instances' requests to targets."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import partial
from http import HTTPStatus
import math
from typing import Final

from aiohttp.hdrs import CONTENT_LENGTH, HOST
from aiohttp.web import BaseRequest, StreamResponse

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    CallerLeftError,
    CallerMistakeError,
    ConnectionFailedError,
    RequestError,
    RequestNotSentError,
    SendNotAllowedError,
)
from swiftpin.gateway.deadline_watch import Deadline, DeadlineWatch
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.request_body import RequestBody
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.platform.request_head import (
    RequestHead,
    decode_request_head,
    encode_request_headers,
    is_answer_to,
)
from swiftpin.relays.relay_terms import (
    HEADER_RELAY_REASON,
    HEADER_RELAY_RESULT,
    RELAY_HEADERS,
    RelayResult,
    RelayTerms,
    decode_relay_terms,
)
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.caller_answer import (
    MAX_LATE_DELIVERY,
    MAX_RELAYED_ANSWER,
    CallerAnswer,
)
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.connection_limit import MAX_IDLE_FOR_ONCE, connection_limit
from swiftpin.router.send_cutoff import SendCutoff
from swiftpin.router.target_client import TargetClient, TargetSend

MAX_RELAYED_REQUESTS: Final = 128
"""Maximum requests of other instances at a time, so that they leave room for those of
this instance's own callers."""

MIN_TIME_LIMIT: Final = 60.0
"""Seconds that a relayed request may take even if no route known here has as many; the
sending instance may have a newer configuration."""


@dataclass(eq=False, kw_only=True, slots=True)
class OpenRelay:
    """Request of another instance that has no answer yet."""

    state: HttpSendState
    ends_at: float
    deadline: Deadline


class RelayHandler:
    """Sends requests of other instances over this instance's own links.

    The sending instance holds the permit and decides on retries. This one sends each
    request once, and only if it may send to the target itself.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        lifecycle: Lifecycle,
        links: TargetLinks,
        cutoff: SendCutoff,
    ) -> None:
        self.in_flight = 0
        """Number of requests that are being passed on."""

        self.relayed = 0
        """Number of requests that were answered by a target."""

        self._client = client
        self._configuration = configuration
        self._directory = directory
        self._lifecycle = lifecycle
        self._links = links
        self._cutoff = cutoff
        self._open: set[OpenRelay] = set()
        self._deadline_watch = DeadlineWatch()

    @callback
    def unload(self) -> None:
        """Stop the deadline timer."""
        self._deadline_watch.unload()

    @callback
    def refuse_long_requests(self) -> None:
        """Interrupt every request that is not at its target and may not be sent."""
        for relay in self._open:
            if not relay.state.written and not self._cutoff.allows(relay.ends_at):
                relay.deadline.interrupt()

    async def async_handle(self, request: BaseRequest) -> StreamResponse:
        """Pass one request on and return its finished response."""
        answer = CallerAnswer(request, "")
        if self._lifecycle.leaving or self.in_flight >= MAX_RELAYED_REQUESTS:
            return await _async_refuse(answer, RelayResult.BUSY, "no room")
        self.in_flight += 1
        try:
            return await self._async_serve(request, answer)
        except CallerLeftError:
            # The sending instance logs the request.
            return answer.response
        finally:
            self.in_flight -= 1

    async def _async_serve(
        self, request: BaseRequest, answer: CallerAnswer
    ) -> StreamResponse:
        """Pass one request on; turn errors into answers for the sending instance."""
        state = HttpSendState()
        started_at = asyncio.get_running_loop().time()
        try:
            terms = decode_relay_terms(request.headers)
            head = self._limit_time(decode_request_head(request.headers))
            ends_at = started_at + head.deadline
            with self._deadline_watch.until(ends_at) as deadline:
                relay = OpenRelay(state=state, ends_at=ends_at, deadline=deadline)
                self._open.add(relay)
                try:
                    received = await self._async_send(request, head, terms, state)
                finally:
                    self._open.discard(relay)
        except ConnectionFailedError as err:
            return await _async_refuse(answer, RelayResult.NO_LINK, str(err))
        except (RequestNotSentError, ValueError, CallerMistakeError) as err:
            return await _async_refuse(answer, self._failure(state), str(err))
        except (AnswerBrokenError, RequestError, TimeoutError) as err:
            return await _async_refuse(answer, self._failure(state), repr(err))
        received.limit_body(
            MAX_RELAYED_ANSWER, started_at + head.deadline + MAX_LATE_DELIVERY
        )
        try:
            await answer.async_relay(
                received, [], {HEADER_RELAY_RESULT: RelayResult.ANSWERED}
            )
            self.relayed += 1
        except RequestError:
            # The connection was reset, so the answer does not look complete.
            return answer.response
        finally:
            received.finish(asyncio.get_running_loop().time())
        return answer.response

    @callback
    def _failure(self, state: HttpSendState) -> RelayResult:
        """Return the result of a request that failed."""
        if state.written:
            return RelayResult.BROKEN
        if self._lifecycle.leaving:
            return RelayResult.BUSY
        return RelayResult.NOT_ALLOWED

    @callback
    def _limit_time(self, head: RequestHead) -> RequestHead:
        """Bound a deadline, which otherwise lets a request hold its place for ever."""
        if head.deadline <= MIN_TIME_LIMIT:
            return head
        configuration = self._configuration.current
        longest = 0.0 if configuration is None else configuration.max_route_timeout
        limit = max(longest, MIN_TIME_LIMIT)
        return replace(head, deadline=min(head.deadline, limit))

    async def _async_send(
        self,
        request: BaseRequest,
        head: RequestHead,
        terms: RelayTerms,
        state: HttpSendState,
    ) -> HttpAnswer:
        """Send a request to its target and return the head of the answer."""
        started_at = suspend_aware_now()
        target = self._directory.targets_by_id.get(terms.target)
        configuration = self._configuration.current
        if target is None or configuration is None:
            raise RequestNotSentError(f"{terms.target} is not known here")
        body = RequestBody(request, configuration.limits.body_bytes)
        await body.async_prefetch()
        is_lost = self._links.is_lost(target.id, started_at)
        if is_lost and self._links.is_silent(target.id):
            raise ConnectionFailedError(f"the link to {target.id} is lost here too")
        remaining = head.deadline - (suspend_aware_now() - started_at)
        service = configuration.services_by_name.get(target.service)
        try:
            answer = await self._client.async_send(
                TargetSend(
                    target=target,
                    state=state,
                    check=partial(is_answer_to, head.id),
                    permit_until=(
                        None
                        if terms.permit_left is None
                        else started_at + terms.permit_left
                    ),
                    ends_at=asyncio.get_running_loop().time() + remaining,
                    fingerprint=terms.fingerprint,
                ),
                HttpRequest(
                    method=request.method,
                    path=request.raw_path,
                    headers=encode_request_headers(
                        _target_headers(request.headers),
                        request.headers.get(HOST, ""),
                        target.name,
                        remaining,
                    ),
                    body=body,
                ),
                connections=connection_limit(service),
                max_idle=MAX_IDLE_FOR_ONCE if terms.is_once else math.inf,
                may_connect=not is_lost,
            )
        except ConnectionFailedError as err:
            self._links.record_failure(target.id, str(err), suspend_aware_now())
            raise
        except SendNotAllowedError:
            raise
        except RequestNotSentError as err:
            if not is_lost:
                raise
            raise ConnectionFailedError(f"the link is lost here too; {err}") from err
        self._links.record_answer(target.id, suspend_aware_now())
        return answer.http


def _target_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers of a relayed request without those for the relay."""
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in RELAY_HEADERS
    ]


async def _async_refuse(
    answer: CallerAnswer, result: RelayResult, reason: str
) -> StreamResponse:
    """Tell the sending instance that a request got no answer of its target."""
    await answer.async_own(
        HTTPStatus.BAD_GATEWAY,
        {
            HEADER_RELAY_RESULT: result,
            HEADER_RELAY_REASON: " ".join(reason.split()),
            CONTENT_LENGTH: "0",
        },
    )
    return answer.response
