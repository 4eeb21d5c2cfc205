"""Sending of requests to the targets of groups that this instance holds."""

from __future__ import annotations

from functools import partial

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.dispatch.target_sender import TargetSender
from swiftpin.exceptions import NotHolderError
from swiftpin.gateway.answer_writer import AnswerWriter
from swiftpin.gateway.header_rules import target_headers
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.ports import Ownership
from swiftpin.gateway.request_body import RequestBody
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.route import Route
from swiftpin.result import ResultCode


class TargetDispatcher:
    """Runs requests at their targets."""

    def __init__(self, ownership: Ownership, sender: TargetSender) -> None:
        self._ownership = ownership
        self._sender = sender

    async def async_dispatch(
        self,
        incoming: IncomingRequest,
        body: RequestBody,
        route: Route,
        state: HttpSendState,
        writer: AnswerWriter,
    ) -> None:
        """Send the request to the route's target and write the answer."""
        request = HttpRequest(
            method=incoming.method,
            path=incoming.path,
            headers=target_headers(
                incoming, route, route.target.address, monotonic_now()
            ),
            body=body,
        )
        answer = await self._sender.async_send(
            route.target, request, state, partial(self._check_lease, route.group)
        )
        try:
            await writer.async_write_answer(answer, ResultCode.ANSWERED.value)
        finally:
            answer.finish(monotonic_now())

    @callback
    def _check_lease(self, group: GroupId, now: float) -> None:
        """Raise unless this instance may send for the group at this moment.

        A process that was paused, or waited for a connection, may have lost the
        lease since the route was resolved. Its target may serve the key for
        nobody or belong to another holder by now.
        """
        until = self._ownership.send_until(group, now)
        if until is None or until <= now:
            raise NotHolderError("this instance may not send for the group any more")
