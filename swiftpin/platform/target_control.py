"""Calls that grant keys to targets and release them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from aiohttp.hdrs import CONTENT_TYPE, HOST
from multidict import CIMultiDict
import orjson

from swiftpin.core import monotonic_now
from swiftpin.dispatch.http_answer import MAX_SHORT_ANSWER, HttpAnswer
from swiftpin.dispatch.http_client import HttpClient, SendGate
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    GrantRefusedError,
    RequestNotSentError,
    TargetNotReachedError,
    TargetReplacedError,
    TargetUnreachableError,
    UnexpectedAnswerError,
)
from swiftpin.helpers.bytes_body import BytesBody
from swiftpin.model.key_grant import GrantCall, KeyGrant
from swiftpin.platform.names import (
    CONTENT_TYPE_JSON,
    HEADER_EXPECTED_INSTANCE,
    HEADER_HANDOVER,
    HEADER_INSTANCE,
    MILLISECONDS_PER_SECOND,
    PATH_GRANT,
    PATH_RELEASE,
)
from swiftpin.platform.request_head import AnswerHead, decode_answer_head

METHOD: Final = "POST"


class TargetControl:
    """Sends grants and releases without retries.

    `gate` is called immediately before each send and raises `RequestNotSentError` if
    this instance may no longer assign keys. `on_answer` is called with the name of the
    target and the head of each answer.
    """

    def __init__(
        self,
        client: HttpClient,
        gate: SendGate,
        on_answer: Callable[[str, AnswerHead], None] | None = None,
    ) -> None:
        self._client = client
        self._gate = gate
        self._on_answer = on_answer

    async def async_grant(
        self,
        address: str,
        target_id: str,
        call: GrantCall,
        *,
        limit: float,
    ) -> None:
        """Grant keys or renew a grant; its duration counts from the call's arrival.

        Raises `GrantRefusedError`, `TargetReplacedError` or `TargetUnreachableError`;
        after the latter the grant may still take effect seconds later.
        """
        send_state = HttpSendState()
        try:
            async with asyncio.timeout(limit):
                connection = await self._client.async_connection(
                    address, preferred=call.preferred_connection
                )
                fence = call.fence_for_connection(connection.number)
                request = _make_request(
                    address, target_id, PATH_GRANT, _grant_document(call, fence)
                )
                answer = await self._async_read(
                    target_id,
                    await self._client.async_exchange_over(
                        connection, request, send_state, self._gate
                    ),
                )
        except (RequestNotSentError, AnswerBrokenError, TimeoutError) as err:
            raise _unreachable_error(target_id, send_state, err) from err
        _check_answer(address, target_id, answer)

    async def async_release(
        self,
        address: str,
        target_id: str,
        grant: KeyGrant,
        *,
        avoided_connection: int | None = None,
        limit: float,
    ) -> str:
        """Release keys; return the handover after all work on them has ended.

        The call does not use `avoided_connection`, so that grants can. It closes its
        connection: a late duplicate would count as the answer to the next release.

        Raises the same errors as `async_grant`.
        """
        send_state = HttpSendState()
        request = _make_request(address, target_id, PATH_RELEASE, _key_document(grant))
        try:
            async with asyncio.timeout(limit):
                connection = await self._client.async_connection(
                    address, avoided=avoided_connection
                )
                answer = await self._async_read(
                    target_id,
                    await self._client.async_exchange_over(
                        connection, request, send_state, self._gate
                    ),
                    is_last=True,
                )
        except (RequestNotSentError, AnswerBrokenError, TimeoutError) as err:
            raise _unreachable_error(target_id, send_state, err) from err
        _check_answer(address, target_id, answer)
        handover = answer.headers.get(HEADER_HANDOVER)
        if handover is None:
            # A target may send a duplicate answer. On a connection used for a grant
            # before, the grant's duplicate would be read as this answer, and the keys
            # would be granted to another target while this one still holds them.
            raise TargetUnreachableError(f"{target_id}: answer without a handover")
        return handover

    async def async_identify(
        self, address: str, health_path: str, *, limit: float
    ) -> str | None:
        """Return the id of the target at an address, None if there is no answer."""
        request = HttpRequest(
            method="GET",
            path=health_path,
            headers=CIMultiDict({HOST: address}),
            body=BytesBody(b""),
        )
        try:
            async with asyncio.timeout(limit):
                answer = await self._async_read(
                    None,
                    await self._client.async_exchange(
                        address, request, HttpSendState(), self._gate
                    ),
                )
        except (RequestNotSentError, AnswerBrokenError, TimeoutError):
            # The caller keeps its state and calls again later.
            return None
        return answer.headers.get(HEADER_INSTANCE)

    async def _async_read(
        self, target_id: str | None, answer: HttpAnswer, *, is_last: bool = False
    ) -> HttpAnswer:
        """Read an answer completely and release or close its connection.

        `target_id` is None if any target may answer, which then names itself.
        """
        head = decode_answer_head(answer.status, answer.headers)
        name = head.instance if target_id is None else target_id
        if name is not None and self._on_answer is not None:
            self._on_answer(name, head)
        try:
            answer.limit_body(MAX_SHORT_ANSWER)
            await answer.async_read_whole()
        finally:
            if is_last:
                answer.abort()
            else:
                answer.finish(monotonic_now())
        return answer


def _make_request(
    address: str, target_id: str, path: str, document: dict[str, int | str]
) -> HttpRequest:
    """Return a call to a target at an address, for that target only."""
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


def _unreachable_error(
    target_id: str, send_state: HttpSendState, err: Exception
) -> TargetUnreachableError:
    """Return the error for a call that got no answer."""
    if send_state.written:
        return TargetUnreachableError(f"{target_id}: {err!r}")
    return TargetNotReachedError(f"{target_id}: {err!r}")


def _check_answer(address: str, target_id: str, answer: HttpAnswer) -> None:
    """Raise the error that corresponds to an answer, if any."""
    answering_id = answer.headers.get(HEADER_INSTANCE)
    is_misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
    if answering_id != target_id and (is_misdirected or answering_id is not None):
        raise TargetReplacedError(f"{answering_id} answers at {address}")
    if answer.status == HTTPStatus.CONFLICT:
        raise GrantRefusedError(f"{target_id} has seen a higher fence")
    if answer.status != HTTPStatus.OK:
        raise UnexpectedAnswerError(f"{target_id}: status {answer.status}")


def _key_document(grant: KeyGrant) -> dict[str, int | str]:
    """Return the body with keys and fence."""
    return {"from": grant.first, "to": grant.last, "fence": grant.fence}


def _grant_document(call: GrantCall, fence: int) -> dict[str, int | str]:
    """Return the body of a grant call."""
    grant = KeyGrant(first=call.first, last=call.last, fence=fence)
    document = _key_document(grant) | {
        "hold_ms": int(call.hold * MILLISECONDS_PER_SECOND)
    }
    if call.handover is not None:
        document["handover"] = call.handover
    return document
