"""Sending of requests to targets."""

from __future__ import annotations

from swiftpin.config.target_spec import TargetSpec
from swiftpin.const import HEADER_REQUEST_ID, HEADER_TARGET_REFUSAL
from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_client import HttpClient, SendGate
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    AnswerLostError,
    RequestNotSentError,
    TargetConnectError,
    TargetRefusedError,
)


class TargetSender:
    """Sends one request to one target, once."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def async_send(
        self,
        target: TargetSpec,
        request: HttpRequest,
        state: HttpSendState,
        gate: SendGate,
    ) -> HttpAnswer:
        """Return the head of the target's answer.

        Raises `TargetConnectError` and `TargetRefusedError` where the target
        certainly did not run the request, and `AnswerLostError` where it may have.
        """
        try:
            answer = await self._client.async_exchange(
                target.address, request, state, gate, connections=target.connections
            )
        except RequestNotSentError as err:
            raise TargetConnectError(f"target {target.id} took no connection") from err
        except AnswerBrokenError as err:
            raise AnswerLostError(f"target {target.id} gave no answer") from err
        _check_own(answer, request)
        refusal = answer.headers.get(HEADER_TARGET_REFUSAL)
        if refusal is not None:
            await _async_drop(answer)
            state.written = False
            raise TargetRefusedError(f"target {target.id} refused: {refusal}")
        return answer


@callback
def _check_own(answer: HttpAnswer, request: HttpRequest) -> None:
    """Raise when the answer says that it belongs to another request.

    A target that answers twice puts a stray answer on the connection. If it comes
    after the next request was written, nothing but the request id tells them apart.
    """
    answered = answer.headers.get(HEADER_REQUEST_ID)
    if answered is not None and answered != request.headers.get(HEADER_REQUEST_ID):
        answer.abort()
        raise AnswerLostError("the target answered another request")


async def _async_drop(answer: HttpAnswer) -> None:
    """Read a refusal's body to the end, so that the connection can be used again."""
    try:
        await answer.async_read_whole()
    except AnswerBrokenError:
        # The refusal stands in the head, which is whole.
        pass
    finally:
        answer.finish(monotonic_now())
