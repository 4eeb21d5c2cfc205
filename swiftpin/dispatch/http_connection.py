"""One client connection that carries one exchange at a time.

It stands on aiohttp's connection protocol and parser rather than on `ClientSession`.
The session sends idempotent methods again by itself when a reused connection breaks,
reuses a connection on which unasked bytes arrived, and gives no moment between getting
a connection and writing to it. So with it a PUT that must not repeat could run twice,
a late answer could reach another request, and a holder whose confirmation ran out while
it was connecting would still send.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.server_protocol import ServerProtocol
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.helpers.connection_reset import reset_connection

NUMBERS: Final = count(1)
"""Numbers of this process's connections; none is given twice."""


class HttpConnection:
    """A connection of a pool; `idle_since` is monotonic, in seconds."""

    __slots__ = (
        "_on_release",
        "accepts_unframed",
        "idle_limit",
        "idle_since",
        "loop",
        "number",
        "opened_at",
        "protocol",
    )

    def __init__(
        self,
        protocol: ServerProtocol,
        loop: asyncio.AbstractEventLoop,
        on_release: Callable[[HttpConnection, float], None],
    ) -> None:
        self.protocol = protocol
        self.loop = loop
        self.number = next(NUMBERS)
        self.opened_at = suspend_aware_now()
        """Suspend-aware time at which the connection was opened."""

        self.idle_since = 0.0
        self.idle_limit = math.inf
        """Seconds after which the server closes the connection when it is idle."""

        self.accepts_unframed = False
        self._on_release = on_release

    @property
    def is_clean(self) -> bool:
        """Return whether a new exchange may start on the connection.

        Bytes that arrived unasked make it unclean: they may be a late answer, and the
        next request would otherwise receive them as its own.
        """
        protocol = self.protocol
        return protocol.is_connected() and not protocol.should_close

    @callback
    def release(self, now: float) -> None:
        """Hand the connection back after a complete exchange."""
        self.protocol.end_exchange()
        self._on_release(self, now)

    @callback
    def abort(self) -> None:
        """Reset the connection, so that nothing more of the exchange is delivered."""
        transport = self.protocol.transport
        if transport is not None:
            reset_connection(transport)
        self.protocol.abort()
        self._on_release(self, 0.0)
