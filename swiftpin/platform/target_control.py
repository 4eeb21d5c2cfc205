"""Calls that give keys to targets and take them back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from aiohttp.hdrs import CONTENT_TYPE, HOST
from multidict import CIMultiDict
import orjson

from swiftpin.core import monotonic_now
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.dispatch.http_client import HttpClient, SendGate
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    RequestNotSentError,
    TargetError,
    TargetUnreachableError,
)
from swiftpin.helpers.bytes_body import BytesBody
from swiftpin.platform.names import (
    CONTENT_TYPE_JSON,
    HEADER_EXPECTED_INSTANCE,
    HEADER_HANDOVER,
    HEADER_INSTANCE,
    MILLISECONDS_PER_SECOND,
    PATH_GRANT,
    PATH_RELEASE,
)

METHOD: Final = "POST"


class GrantRefusedError(TargetError):
    """The target has seen a higher fence on one of the keys."""


class TargetReplacedError(TargetError):
    """Another target answers at the address; the one meant is gone."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyGrant:
    """Keys `first` to `last`, both included, under one fence."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantCall:
    """Keys `first` to `last`, both included, to be granted for `hold` seconds."""

    first: int
    last: int
    hold: float
    handover: str | None
    fence_over: Callable[[int], int]
    """Called with the number of the connection that the call goes over, once it is
    open; returns the fence."""

    preferred_connection: int | None = None


class UnexpectedAnswerError(TargetUnreachableError):
    """Something answers at the address that does not take the call."""


class TargetNotReachedError(TargetUnreachableError):
    """The call was not sent, so it has no effect."""


class TargetControl:
    """Sends grants and releases; nothing is sent twice here.

    `gate` is called right before each send and raises `RequestNotSentError` when this
    instance may not assign keys any more.
    """

    def __init__(self, client: HttpClient, gate: SendGate) -> None:
        self._client = client
        self._gate = gate

    async def async_grant(
        self,
        address: str,
        target_id: str,
        call: GrantCall,
        *,
        limit: float,
    ) -> None:
        """Give or renew keys; their time counts from the call's arrival.

        Raises `GrantRefusedError`, `TargetReplacedError` or `TargetUnreachableError`;
        after the last one the grant may still take effect, seconds later.
        """
        state = HttpSendState()
        try:
            async with asyncio.timeout(limit):
                connection = await self._client.async_connection(
                    address, preferred=call.preferred_connection
                )
                fence = call.fence_over(connection.number)
                request = _request(
                    address, target_id, PATH_GRANT, _grant_document(call, fence)
                )
                answer = await _async_read(
                    await self._client.async_exchange_over(
                        connection, request, state, self._gate
                    )
                )
        except (RequestNotSentError, AnswerBrokenError, TimeoutError) as err:
            raise _unreachable(target_id, state, err) from err
        _check(address, target_id, answer)

    async def async_release(
        self,
        address: str,
        target_id: str,
        grant: KeyGrant,
        *,
        avoided_connection: int | None = None,
        limit: float,
    ) -> str:
        """Take keys back; return the handover once no work runs on them.

        The connection whose number is given stays free for grants.

        Raises the same errors as `async_grant`.
        """
        state = HttpSendState()
        request = _request(address, target_id, PATH_RELEASE, _document(grant))
        try:
            async with asyncio.timeout(limit):
                connection = await self._client.async_connection(
                    address, avoided=avoided_connection
                )
                answer = await _async_read(
                    await self._client.async_exchange_over(
                        connection, request, state, self._gate
                    )
                )
        except (RequestNotSentError, AnswerBrokenError, TimeoutError) as err:
            raise _unreachable(target_id, state, err) from err
        _check(address, target_id, answer)
        handover = answer.headers.get(HEADER_HANDOVER)
        if handover is None:
            # A target may answer a call a second time. On a connection that carried a
            # grant before, the second answer to that stands where this one is due, and
            # the keys would be granted on while the target still holds them.
            raise TargetUnreachableError(f"{target_id}: an answer without a handover")
        return handover

    async def async_identify(
        self, address: str, health_path: str, *, limit: float
    ) -> str | None:
        """Return the id of whoever answers at an address, None when nobody says."""
        request = HttpRequest(
            method="GET",
            path=health_path,
            headers=CIMultiDict({HOST: address}),
            body=BytesBody(b""),
        )
        try:
            async with asyncio.timeout(limit):
                answer = await _async_read(
                    await self._client.async_exchange(
                        address, request, HttpSendState(), self._gate
                    )
                )
        except (RequestNotSentError, AnswerBrokenError, TimeoutError):
            # Whoever asks goes on as if nothing was learnt, and asks again.
            return None
        return answer.headers.get(HEADER_INSTANCE)


async def _async_read(answer: HttpAnswer) -> HttpAnswer:
    """Read an answer to its end and give its connection back."""
    try:
        await answer.async_read_whole()
    finally:
        answer.finish(monotonic_now())
    return answer


def _request(
    address: str, target_id: str, path: str, document: dict[str, int | str]
) -> HttpRequest:
    """Return a call to whoever answers to an id at an address."""
    return HttpRequest(
        method=METHOD,
        path=path,
        headers=CIMultiDict(
            {
                HOST: address,
                CONTENT_TYPE: CONTENT_TYPE_JSON,
                HEADER_EXPECTED_INSTANCE: target_id,
            }
        ),
        body=BytesBody(orjson.dumps(document)),
    )


def _unreachable(
    target_id: str, state: HttpSendState, err: Exception
) -> TargetUnreachableError:
    """Return the error for a call without an answer."""
    if state.written:
        return TargetUnreachableError(f"{target_id}: {err!r}")
    return TargetNotReachedError(f"{target_id}: {err!r}")


def _check(address: str, target_id: str, answer: HttpAnswer) -> None:
    """Raise the error that an answer stands for."""
    other = answer.headers.get(HEADER_INSTANCE)
    is_misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
    if other != target_id and (is_misdirected or other is not None):
        raise TargetReplacedError(f"{other} answers at {address}")
    if answer.status == HTTPStatus.CONFLICT:
        raise GrantRefusedError(f"{target_id} has seen a higher fence")
    if answer.status != HTTPStatus.OK:
        raise UnexpectedAnswerError(f"{target_id}: status {answer.status}")


def _document(grant: KeyGrant) -> dict[str, int | str]:
    """Return the body that names keys and fence."""
    return {"from": grant.first, "to": grant.last, "fence": grant.fence}


def _grant_document(call: GrantCall, fence: int) -> dict[str, int | str]:
    """Return the body of a grant."""
    grant = KeyGrant(first=call.first, last=call.last, fence=fence)
    document = _document(grant) | {"hold_ms": int(call.hold * MILLISECONDS_PER_SECOND)}
    if call.handover is not None:
        document["handover"] = call.handover
    return document
