"""Exchanges with targets: a check before each write, a record of each answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
import math
from typing import Final

from aiohttp.hdrs import HOST, METH_GET
from multidict import CIMultiDict

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_answer import MAX_SHORT_ANSWER, HttpAnswer
from swiftpin.dispatch.http_client import AnswerCheck, HttpClient
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.dispatch.late_answers import LateAnswers
from swiftpin.exceptions import SendNotAllowedError
from swiftpin.helpers.bytes_body import BytesBody
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.service_spec import ServiceSpec
from swiftpin.model.target import Target
from swiftpin.notices.answer_listener import AnswerListener
from swiftpin.notices.send_policy import SendPolicy
from swiftpin.platform.request_head import (
    AnswerHead,
    decode_answer_head,
    is_answer_to,
)
from swiftpin.poison.suspect_table import SuspectTable
from swiftpin.poison.suspicion import LifeSign
from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_client import RelayClient
from swiftpin.relays.relay_terms import RelayTerms
from swiftpin.router.connection_limit import connection_limit
from swiftpin.router.send_cutoff import SendCutoff

LATE_ANSWER_TIME: Final = 0.1
"""Seconds after the write or the deadline of an abandoned request in which a rejection
still counts: a few round trips between zones, and delays of a busy event loop."""


@callback
def _do_nothing() -> None:
    """Do nothing."""


@callback
def _allow(now: float) -> None:
    """Let a request pass that is no caller's."""


@callback
def _ignore_time(written_at: float) -> None:
    """Do nothing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetAnswer:
    """A target's answer with its decoded head."""

    http: HttpAnswer
    head: AnswerHead


@dataclass(kw_only=True, slots=True)
class TargetSend:
    """One send of a request to a target."""

    target: Target
    check: AnswerCheck
    permit_until: float | None
    """Time until which the permit is valid for a target with a rate limit."""

    on_write: Callable[[], None] = _do_nothing
    """Called right before the request is written."""

    ends_at: float
    """Deadline of the request on the event loop's clock; the target knows it too."""

    fingerprint: int = 0
    """The same for all resends of the request, 0 if it is not known."""

    state: HttpSendState = field(default_factory=HttpSendState)
    written_at: float = 0.0


@callback
def _late_answer_time(send: TargetSend) -> float:
    """Return the seconds for which the answer to an abandoned request is awaited.

    A target rejects a request at once, or when its deadline passes in the queue. At
    other times it may be at work, and is told by the closed connection to stop.
    """
    written_for = suspend_aware_now() - send.written_at
    is_over = asyncio.get_running_loop().time() >= send.ends_at
    return LATE_ANSWER_TIME if is_over else LATE_ANSWER_TIME - written_for


class TargetClient:
    """Sends callers' requests to targets; nothing else writes them.

    Each write is checked first, with no await in between, and the statements in each
    answer are recorded before anyone else gets it. So what a target states in an answer
    holds for all requests that are written after it was read.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        relay_client: RelayClient,
        policy: SendPolicy,
        cutoff: SendCutoff,
        suspects: SuspectTable,
        on_life_sign: Callable[[LifeSign], None],
        listener: AnswerListener,
    ) -> None:
        self._client = client
        self._relay_client = relay_client
        self._policy = policy
        self._cutoff = cutoff
        self._suspects = suspects
        self._on_life_sign = on_life_sign
        """Called with answers of targets that may have ended."""

        self._listener = listener

    async def async_send(
        self,
        send: TargetSend,
        request: HttpRequest,
        *,
        connections: int,
        max_idle: float,
        may_connect: bool,
        on_write: Callable[[float], None] = _ignore_time,
    ) -> TargetAnswer:
        """Send a request over this instance's own link and return the answer.

        `on_write` is called with the time right before the request is written. Raises
        the same errors as `HttpClient.async_exchange`.
        """
        answer = await self._client.async_exchange(
            send.target.address,
            request,
            send.state,
            self._make_gate(send, on_write),
            connections=connections,
            check=send.check,
            max_idle=max_idle,
            may_connect=may_connect,
            late=LateAnswers(
                time_left=partial(_late_answer_time, send),
                on_answer=partial(self._handle_direct_answer, send),
            ),
        )
        return self._handle_direct_answer(send, answer)

    async def async_send_through(
        self, relay: Relay, terms: RelayTerms, send: TargetSend, request: HttpRequest
    ) -> TargetAnswer:
        """Send a request through a relay and return the target's answer.

        Raises the same errors as `RelayClient.async_exchange`.
        """
        answer = await self._relay_client.async_exchange(
            relay,
            terms,
            request,
            send.state,
            self._make_gate(send, is_relayed=True),
            send.check,
        )
        return self._handle_answer(send, answer)

    async def async_check_health(
        self, target: Target, service: ServiceSpec
    ) -> AnswerHead:
        """Return the head of the answer of a target's health endpoint.

        Raises the same errors as `HttpClient.async_exchange`.
        """
        asked_at = suspend_aware_now()
        answer = await self._client.async_exchange(
            target.address,
            HttpRequest(
                method=METH_GET,
                path=service.health_path,
                headers=CIMultiDict({HOST: target.address}),
                body=BytesBody(b""),
            ),
            HttpSendState(),
            _allow,
            connections=connection_limit(service),
            check=partial(is_answer_to, ""),
        )
        head = decode_answer_head(answer.status, answer.headers)
        self._listener.handle_answer(
            target, head, asked_at=asked_at, now=suspend_aware_now()
        )
        try:
            answer.limit_body(MAX_SHORT_ANSWER)
            await answer.async_read_whole()
        finally:
            answer.finish(monotonic_now())
        return head

    @callback
    def _make_gate(
        self,
        send: TargetSend,
        on_write: Callable[[float], None] = _ignore_time,
        *,
        is_relayed: bool = False,
    ) -> Callable[[float], None]:
        """Return the check to make right before a request is written.

        A relay checks its own connection to the target.
        """

        def gate(now: float) -> None:
            if not self._cutoff.allows(send.ends_at):
                raise SendNotAllowedError("the request could outlast this instance")
            sent_at = suspend_aware_now()
            self._policy.check_send_allowed(
                send.target.id,
                sent_at,
                send.permit_until,
                send.fingerprint,
                connected_at=-math.inf if is_relayed else send.state.connected_at,
            )
            send.written_at = sent_at
            send.on_write()
            on_write(sent_at)

        return gate

    @callback
    def _handle_direct_answer(
        self, send: TargetSend, answer: HttpAnswer
    ) -> TargetAnswer:
        """Record an answer that came over this instance's own link."""
        received = self._handle_answer(send, answer)
        if received.head.instance in (None, send.target.name):
            self._record_life_sign(send, answer)
        return received

    @callback
    def _record_life_sign(self, send: TargetSend, answer: HttpAnswer) -> None:
        """Report an answer of a target that may have ended under another request."""
        if not self._suspects.is_any_suspected_at(send.target.id):
            return
        self._on_life_sign(
            LifeSign(
                target=send.target.id,
                connected_at=answer.connected_at,
                asked_at=send.written_at,
            )
        )

    @callback
    def _handle_answer(self, send: TargetSend, answer: HttpAnswer) -> TargetAnswer:
        """Record what the target states in an answer."""
        head = decode_answer_head(answer.status, answer.headers)
        self._listener.handle_answer(
            send.target, head, asked_at=send.written_at, now=suspend_aware_now()
        )
        return TargetAnswer(http=answer, head=head)
