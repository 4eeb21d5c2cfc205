"""Routing of one request to its target."""

from __future__ import annotations

from swiftpin.core import monotonic_now
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import NotHolderError
from swiftpin.gateway.answer_writer import AnswerWriter
from swiftpin.gateway.forwarder import Forwarder
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.ports import Ownership
from swiftpin.gateway.request_body import RequestBody
from swiftpin.gateway.request_record import RequestRecord
from swiftpin.gateway.target_dispatcher import TargetDispatcher


class RequestRouter:
    """Resolves routes and sends requests along them."""

    def __init__(
        self, ownership: Ownership, dispatcher: TargetDispatcher, forwarder: Forwarder
    ) -> None:
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._forwarder = forwarder

    async def async_serve(
        self,
        incoming: IncomingRequest,
        body: RequestBody,
        state: HttpSendState,
        writer: AnswerWriter,
        record: RequestRecord,
    ) -> None:
        """Get the request answered, or raise a `RequestError`."""
        route = self._ownership.resolve(incoming.service, incoming.key, monotonic_now())
        record.route = route
        record.attempts += 1
        if route.forward_address is None:
            await self._dispatcher.async_dispatch(incoming, body, route, state, writer)
            return
        if incoming.forwarded:
            raise NotHolderError("this instance does not hold the group")
        await self._forwarder.async_forward(
            incoming, body, route.forward_address, state, writer
        )
