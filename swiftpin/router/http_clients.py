"""HTTP clients of an instance."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.keyranges.const import CONTROL_TIMEOUT

CONNECT_TIMEOUT: Final = 0.5
"""Seconds to open a connection. Zones are milliseconds apart, and TCP repeats a lost
SYN packet only after one second, so waiting longer would not help."""

IDLE_LIMIT: Final = 5.0
"""Seconds for which idle connections are kept if the server does not state a time."""


class HttpClients:
    """One client for each kind of server, so that their connections are separate."""

    def __init__(self) -> None:
        self.store = HttpClient(connect_limit=CONNECT_TIMEOUT)
        self.targets = HttpClient(
            connect_limit=CONNECT_TIMEOUT, accepts_unframed=True, idle_limit=IDLE_LIMIT
        )
        self.control = HttpClient(
            connect_limit=CONNECT_TIMEOUT,
            idle_limit=IDLE_LIMIT,
            untaken_limit=CONTROL_TIMEOUT,
        )
        self.relays = HttpClient(connect_limit=CONNECT_TIMEOUT, idle_limit=IDLE_LIMIT)

    @callback
    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for longer than their limit."""
        for client in self._all():
            client.close_idle(now)

    @callback
    def unload(self) -> None:
        """Close all connections."""
        for client in self._all():
            client.unload()

    def _all(self) -> tuple[HttpClient, ...]:
        """Return all clients."""
        return (self.targets, self.control, self.store, self.relays)
