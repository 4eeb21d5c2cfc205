"""Forwarding of requests to the instance that holds their group."""

from __future__ import annotations

from typing import Final

from swiftpin.const import HEADER_RESULT
from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    AnswerLostError,
    AttemptNotRunError,
    DeadlineTooShortError,
    HolderUnreachableError,
    NotHolderError,
    RequestNotSentError,
)
from swiftpin.gateway.exchange import Exchange
from swiftpin.gateway.header_rules import forward_headers
from swiftpin.result import Executed, ResultCode, executed_by_result

HOP_ALLOWANCE: Final = 0.005
"""Seconds that the holder's answer may take on its way back. The holder's deadline is
earlier by them, so that its answer, which knows whether the request ran, arrives
before the entry instance has to answer "unknown"."""

HOLDER_CONNECTIONS: Final = 500
NOT_HOLDER: Final = ResultCode.NOT_HOLDER.value


class Forwarder:
    """Sends requests on to other instances."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def async_forward(self, exchange: Exchange, address: str) -> None:
        """Forward the request to an instance's address and write its answer.

        Raises `HolderUnreachableError` and `NotHolderError` where the request was
        certainly not run, and `AnswerLostError` where it may have been.
        """
        incoming, state = exchange.incoming, exchange.state
        left = incoming.deadline - monotonic_now() - HOP_ALLOWANCE
        if left <= 0:
            raise DeadlineTooShortError("no time is left to reach the holder")
        request = HttpRequest(
            method=incoming.method,
            path=incoming.full_path,
            headers=forward_headers(incoming, address, left),
            body=exchange.body,
        )
        answer = await self._async_send(address, request, state)
        try:
            result = _result(answer)
            if result == NOT_HOLDER:
                state.written = False
                raise NotHolderError("the holder has just changed", retry_after=1)
            _check_refusal(result, exchange)
            await exchange.writer.async_write_answer(answer, result)
        finally:
            answer.finish(monotonic_now())

    async def _async_send(
        self, address: str, request: HttpRequest, state: HttpSendState
    ) -> HttpAnswer:
        """Return the head of the holder's answer."""
        try:
            return await self._client.async_exchange(
                address, request, state, _no_gate, connections=HOLDER_CONNECTIONS
            )
        except RequestNotSentError as err:
            raise HolderUnreachableError("the holder took no connection") from err
        except AnswerBrokenError as err:
            raise AnswerLostError("the holder gave no answer") from err


@callback
def _check_refusal(result: int, exchange: Exchange) -> None:
    """Raise when the holder's "not run" is not true of the whole request.

    The holder speaks of the attempt that it got. An earlier attempt, whose answer was
    lost on the way, may have run; only for requests that are not repeatable does
    the holder look that up.
    """
    if not exchange.record.may_have_run:
        return
    if not exchange.incoming.request_class.repeatable:
        return
    if executed_by_result(result) is Executed.NO:
        raise AttemptNotRunError(
            f"the retry was refused with {result}; an earlier attempt may have run",
            retry_after=1,
        )


@callback
def _no_gate(now: float) -> None:
    """Let the request go: the holder itself checks whether it may send."""


@callback
def _result(answer: HttpAnswer) -> int:
    """Return the holder's result code."""
    value = answer.headers.get(HEADER_RESULT, "")
    if not value.isascii() or not value.isdigit():
        raise AnswerLostError("the holder's answer has no result code")
    return int(value)
