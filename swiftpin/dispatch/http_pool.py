"""Connections to one address."""

from __future__ import annotations

import asyncio
from typing import Final

from aiohttp.client_proto import ResponseHandler

from swiftpin.core import callback
from swiftpin.dispatch.http_connection import HttpConnection
from swiftpin.exceptions import RequestNotSentError
from swiftpin.helpers.address import Address
from swiftpin.security.client_tls import CLOSE_LIMIT, ClientTls

IDLE_LIMIT: Final = 15.0
"""Seconds; well under the time after which servers close idle connections, since a
request written to a connection that the server is just closing ends unknown."""


class HttpPool:
    """Open connections to one address, at most `limit`; the newest is used first."""

    def __init__(
        self,
        address: Address,
        *,
        limit: int,
        connect_limit: float,
        tls: ClientTls | None = None,
    ) -> None:
        self.address = address
        self.limit = limit
        self._connect_limit = connect_limit
        self._tls = tls
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()

    @property
    def open_count(self) -> int:
        """Return the number of connections, idle ones included."""
        return len(self._open)

    @callback
    def take_idle(self, now: float) -> HttpConnection | None:
        """Return an open connection that carries no exchange, None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_clean and now - connection.idle_since < IDLE_LIMIT:
                return connection
            connection.abort()
        return None

    async def async_connect(self) -> HttpConnection:
        """Open a new connection; raise `RequestNotSentError` when that fails."""
        if len(self._open) >= self.limit:
            raise RequestNotSentError(
                f"all {self.limit} connections to {self.address} are in use"
            )
        loop = asyncio.get_running_loop()
        tls = self._tls
        try:
            async with asyncio.timeout(self._connect_limit):
                _, protocol = await loop.create_connection(
                    lambda: ResponseHandler(loop),
                    self.address.host,
                    self.address.port,
                    ssl=None if tls is None else tls.context,
                    ssl_shutdown_timeout=None if tls is None else CLOSE_LIMIT,
                )
        except (OSError, TimeoutError) as err:
            raise RequestNotSentError(
                f"no connection to {self.address}: {err!r}"
            ) from err
        connection = HttpConnection(protocol, loop, self._released)
        self._open.add(connection)
        return connection

    @callback
    def close_idle(self, now: float) -> None:
        """Close connections that were idle for too long."""
        fresh = []
        for connection in self._idle:
            if connection.is_clean and now - connection.idle_since < IDLE_LIMIT:
                fresh.append(connection)
            else:
                connection.abort()
        self._idle = fresh

    @callback
    def unload(self) -> None:
        """Close every connection, those in use too."""
        self._idle.clear()
        for connection in list(self._open):
            connection.abort()

    @callback
    def _released(self, connection: HttpConnection, now: float) -> None:
        """Keep a connection that is fit for another exchange, forget any other."""
        if connection.is_clean:
            connection.idle_since = now
            self._idle.append(connection)
            return
        connection.protocol.close()
        self._open.discard(connection)
