"""Sending of requests through a relay."""

from __future__ import annotations

from typing import Final

from multidict import CIMultiDict, CIMultiDictProxy

from swiftpin.core import monotonic_now
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_client import AnswerCheck, HttpClient, SendGate
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    RequestNotSentError,
    SendNotAllowedError,
)
from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_terms import (
    HEADER_RELAY_REASON,
    RELAY_HEADERS,
    RelayResult,
    RelayTerms,
    decode_relay_result,
    encode_relay_terms,
)

MAX_CONNECTIONS: Final = 32
"""Maximum connections of this instance to one relay."""


class RelayNotSentError(RequestNotSentError):
    """The relay stated that it did not send the request, or was not reached."""

    def __init__(self, text: str, result: RelayResult) -> None:
        super().__init__(text)
        self.result = result


class RelayedAnswerBrokenError(AnswerBrokenError):
    """The relay or its link failed; nothing is known of the target."""


class RelayClient:
    """Sends requests to relays, each to one relay and once."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def async_exchange(
        self,
        relay: Relay,
        terms: RelayTerms,
        request: HttpRequest,
        state: HttpSendState,
        gate: SendGate,
        check: AnswerCheck,
    ) -> HttpAnswer:
        """Return the target's answer.

        Raises `RelayNotSentError` if the request certainly did not leave the relay,
        `RelayedAnswerBrokenError` if that is unknown, `AnswerBrokenError` if the relay
        reports that the target broke its answer off, and what `gate` raises.
        """
        encode_relay_terms(terms, request.headers)
        try:
            answer = await self._client.async_exchange(
                relay.address, request, state, gate, connections=MAX_CONNECTIONS
            )
        except AnswerBrokenError as err:
            raise RelayedAnswerBrokenError(f"relay {relay.address}: {err}") from err
        except SendNotAllowedError:
            raise
        except RequestNotSentError as err:
            raise RelayNotSentError(str(err), RelayResult.BUSY) from err
        result = decode_relay_result(answer.headers)
        if result is RelayResult.ANSWERED:
            return _checked_answer(answer, check)
        reason = answer.headers.get(HEADER_RELAY_REASON, f"status {answer.status}")
        answer.finish(monotonic_now())
        match result:
            case RelayResult.NO_LINK | RelayResult.NOT_ALLOWED | RelayResult.BUSY:
                state.written = False
                raise RelayNotSentError(f"relay {relay.address}: {reason}", result)
            case RelayResult.BROKEN:
                raise AnswerBrokenError(f"relay {relay.address}: {reason}")
        raise RelayedAnswerBrokenError(f"relay {relay.address}: {reason}")


def _checked_answer(answer: HttpAnswer, check: AnswerCheck) -> HttpAnswer:
    """Return an answer without the relay's headers, if it is the right one."""
    if not check(answer.headers):
        answer.abort()
        raise AnswerBrokenError("the relay passed on the answer to another request")
    answer.headers = CIMultiDictProxy(
        CIMultiDict(
            (name, value)
            for name, value in answer.headers.items()
            if name.lower() not in RELAY_HEADERS
        )
    )
    return answer
