"""HTTP listeners of an instance."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.exceptions import RequestError
from swiftpin.gateway.close_reason import CloseReason
from swiftpin.gateway.http_listener import HttpListener
from swiftpin.gateway.http_protocol import HttpHandler
from swiftpin.gateway.input_limits import MAX_HEAD_BYTES, InputLimits
from swiftpin.gateway.input_turns import InputTurns
from swiftpin.helpers.address import Address
from swiftpin.model.caller_limits import CallerLimits
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.router.instance_capacity import InstanceCapacity
from swiftpin.router.status_endpoints import StatusEndpoints

METRICS_PORT: Final = 9464
MAX_HEADERS: Final = 1024
"""Maximum header lines of a request, trailers included."""

UNCONFIGURED_LIMITS: Final = InputLimits(head_timeout=10.0, idle_timeout=60.0)
"""Limits for callers until a configuration is known."""

RELAY_LIMITS: Final = InputLimits(
    head_bytes=MAX_HEAD_BYTES,
    head_timeout=10.0,
    idle_timeout=60.0,
    held_heads=8 * 1024 * 1024,
)
STATUS_LIMITS: Final = InputLimits(
    head_bytes=16 * 1024,
    head_timeout=5.0,
    idle_timeout=60.0,
    held_heads=1024 * 1024,
)
MAX_RELAY_CONNECTIONS: Final = 256
MAX_STATUS_CONNECTIONS: Final = 32
"""Connections to the readiness endpoint, and as many to the metrics endpoint."""

HEADER_GRACE: Final = 1.0
"""Seconds beyond the configured time for a head, in which lost packets are repeated."""


class Listeners:
    """Listeners for callers, other instances, the load balancer and for metrics."""

    def __init__(
        self,
        *,
        handler: HttpHandler,
        on_unparsed: Callable[[RequestError], None],
        relayed: HttpHandler,
        status: StatusEndpoints,
        capacity: InstanceCapacity,
    ) -> None:
        self._logged: Counter[CloseReason] = Counter()
        turns = InputTurns()
        self.callers = HttpListener(
            handler,
            max_line=MAX_HEAD_BYTES,
            max_headers=MAX_HEADERS,
            on_unparsed=on_unparsed,
            input_limits=UNCONFIGURED_LIMITS,
            turns=turns,
        )
        self._capacity = capacity
        capacity.open_connections = self.callers.count_requesting_connections
        capacity.closed_connections = self._count_closed_for_room
        self._relayed = _listener(relayed, RELAY_LIMITS, turns, MAX_RELAY_CONNECTIONS)
        self._readiness = _listener(
            status.async_readiness, STATUS_LIMITS, turns, MAX_STATUS_CONNECTIONS
        )
        self._metrics = _listener(
            status.async_metrics, STATUS_LIMITS, turns, MAX_STATUS_CONNECTIONS
        )

    async def async_setup(self, settings: InstanceSettings) -> None:
        """Start listening, on the load balancer's address first."""
        await self._readiness.async_setup(settings.readiness_address)
        await self._relayed.async_setup(settings.relay_address)
        await self.callers.async_setup(settings.caller_address)
        metrics = Address(host=settings.peer_address.host, port=METRICS_PORT)
        await self._metrics.async_setup(metrics)
        limits = self._capacity.measure()
        self.callers.set_max_connections(limits.connections, limits.open_connections)
        self._set_held_heads(limits.held_heads)

    @callback
    def count_closed(self) -> Counter[CloseReason]:
        """Return how many connections of all listeners were closed, by reason."""
        total: Counter[CloseReason] = Counter()
        for listener in self._all():
            total.update(listener.closed)
        return total

    @callback
    def log_closed(self) -> None:
        """Log that connections were closed since the last call."""
        closed = self.count_closed()
        # Idle connections are closed all the time.
        new = closed - self._logged - Counter({CloseReason.SILENT: closed.total()})
        self._logged = closed
        if new:
            log_message(
                message_type="client_connections_closed",
                level="warning",
                **{reason.value: count for reason, count in new.items()},
            )

    @callback
    def _count_closed_for_room(self) -> int:
        """Return how many connections of callers were closed to make room."""
        closed = self.callers.closed
        return closed[CloseReason.REPLACED] + closed[CloseReason.CROWDED]

    def _all(self) -> tuple[HttpListener, ...]:
        """Return all listeners."""
        return (self.callers, self._relayed, self._readiness, self._metrics)

    @callback
    def set_caller_limits(self, limits: CallerLimits) -> None:
        """Apply the operator's limits on callers, also to open connections."""
        self.callers.set_input_limits(
            replace(
                self.callers.input_limits,
                head_bytes=limits.header_bytes,
                head_timeout=limits.header_timeout + HEADER_GRACE,
                idle_timeout=limits.idle_timeout,
            )
        )

    @callback
    def _set_held_heads(self, limit: float) -> None:
        """Set how much memory the heads of callers may take."""
        self.callers.set_input_limits(
            replace(self.callers.input_limits, held_heads=limit)
        )

    async def async_unload(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(it.async_unload() for it in self._all()))


@callback
def _listener(
    handler: HttpHandler, limits: InputLimits, turns: InputTurns, connections: int
) -> HttpListener:
    """Return a listener that is not for callers and not yet set up."""
    listener = HttpListener(
        handler,
        max_line=MAX_HEAD_BYTES,
        max_headers=MAX_HEADERS,
        input_limits=limits,
        turns=turns,
    )
    listener.set_max_connections(connections, connections)
    return listener
