"""Part of the instance's capacity that one request uses."""

from __future__ import annotations

import asyncio

from aiohttp.web import BaseRequest

from swiftpin.capacity.admission import Holding
from swiftpin.core import callback
from swiftpin.router.delivery import Delivery
from swiftpin.router.delivery_watch import DeliveryWatch
from swiftpin.router.received_answer import ReceivedAnswer


class RequestUse:
    """Holding of a request and the delivery of its answer."""

    __slots__ = ("_delivery", "_holding", "_watch")

    def __init__(self, holding: Holding, watch: DeliveryWatch) -> None:
        self._holding = holding
        self._watch = watch
        self._delivery: Delivery | None = None

    @callback
    def begin_delivery(
        self, request: BaseRequest, received: ReceivedAnswer
    ) -> Delivery | None:
        """Count an answer that begins; return its delivery if it is a long one."""
        answer = received.answer
        length = (
            sum(map(len, received.first_chunks)) if answer.is_read else answer.length
        )
        now = asyncio.get_running_loop().time()
        is_long = self._holding.begin_answer(length, now)
        if not is_long:
            return None
        transport = request.transport
        if transport is None:
            return None
        self._delivery = self._watch.add(transport, self._holding, now)
        return self._delivery

    @callback
    def end(self) -> None:
        """Release what the request holds."""
        now = asyncio.get_running_loop().time()
        if self._delivery is None:
            self._holding.release(now)
            return
        self._delivery.end()
        self._holding.release(now, self._delivery.undelivered)
