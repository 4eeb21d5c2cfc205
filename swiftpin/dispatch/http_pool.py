"""Connections to one address."""

from __future__ import annotations

import asyncio
import math
import socket
from typing import Final

from aiohttp.client_proto import ResponseHandler

from swiftpin.core import callback
from swiftpin.dispatch.http_connection import HttpConnection
from swiftpin.dispatch.server_protocol import ServerProtocol
from swiftpin.exceptions import ConnectionFailedError, RequestNotSentError
from swiftpin.helpers.address import Address
from swiftpin.security.client_tls import CLOSE_TIMEOUT, ClientTls

IDLE_LIMIT: Final = 15.0
"""Seconds; well under the time after which servers close idle connections, since a
request written to a connection that the server is just closing ends unknown."""


KEEPALIVE_IDLE: Final = 2
KEEPALIVE_INTERVAL: Final = 1
KEEPALIVE_PROBES: Final = 2
UNTAKEN_LIMIT: Final = 3.0
"""Seconds, seconds, probes, and seconds that sent bytes may stay unacknowledged, after
which TCP gives up on a connection that fell silent. Without them it waits for many
minutes, and an idle connection that leads nowhere looks open until a request is lost on
it."""


def _watch_for_silence(protocol: ResponseHandler, untaken_limit: float) -> None:
    """Make TCP notice that the other side is gone."""
    transport = protocol.transport
    raw_socket = None if transport is None else transport.get_extra_info("socket")
    if raw_socket is None:
        return
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, round(untaken_limit * 1000)),
    ):
        raw_socket.setsockopt(socket.IPPROTO_TCP, option, value)


class HttpPool:
    """Open connections to one address, at most `limit`; the newest is used first."""

    def __init__(
        self,
        address: Address,
        *,
        limit: int,
        connect_limit: float,
        tls: ClientTls | None = None,
        idle_limit: float = IDLE_LIMIT,
        untaken_limit: float = UNTAKEN_LIMIT,
    ) -> None:
        self.address = address
        self._untaken_limit = untaken_limit
        self._idle_limit = idle_limit
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
    def take_idle(
        self,
        now: float,
        max_idle: float = math.inf,
        *,
        preferred: int | None = None,
        avoided: int | None = None,
    ) -> HttpConnection | None:
        """Return an open connection that carries no exchange, None if there is none.

        One that was idle for longer than `max_idle` seconds stays for other requests.
        The one whose number is `preferred` is taken if it is there, the one whose
        number is `avoided` never.
        """
        if preferred is not None:
            for connection in self._idle:
                if connection.number == preferred and self._is_fresh(connection, now):
                    self._idle.remove(connection)
                    return connection
        for connection in reversed(self._idle[:]):
            if not self._is_fresh(connection, now):
                self._idle.remove(connection)
                connection.abort()
                continue
            if connection.number == avoided:
                continue
            if now - connection.idle_since > max_idle:
                return None
            self._idle.remove(connection)
            return connection
        return None

    async def async_connect(self) -> HttpConnection:
        """Open a new connection.

        Raises `ConnectionFailedError` when that fails, and `RequestNotSentError` when
        there are too many.
        """
        if len(self._open) >= self.limit:
            raise RequestNotSentError(
                f"all {self.limit} connections to {self.address} are in use"
            )
        loop = asyncio.get_running_loop()
        tls = self._tls
        try:
            async with asyncio.timeout(self._connect_limit):
                _, protocol = await loop.create_connection(
                    lambda: ServerProtocol(loop),
                    self.address.host,
                    self.address.port,
                    ssl=None if tls is None else tls.context,
                    ssl_shutdown_timeout=None if tls is None else CLOSE_TIMEOUT,
                )
        except (OSError, TimeoutError, ValueError) as err:
            # A name that no lookup takes is a `ValueError`.
            raise ConnectionFailedError(
                f"no connection to {self.address}: {err!r}"
            ) from err
        _watch_for_silence(protocol, self._untaken_limit)
        connection = HttpConnection(protocol, loop, self._released)
        self._open.add(connection)
        return connection

    @callback
    def close_idle(self, now: float) -> None:
        """Close connections that were idle for too long."""
        fresh = []
        for connection in self._idle:
            if self._is_fresh(connection, now):
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
    def _is_fresh(self, connection: HttpConnection, now: float) -> bool:
        """Return whether an idle connection may be used again."""
        limit = min(self._idle_limit, connection.idle_limit)
        return connection.is_clean and now - connection.idle_since < limit

    @callback
    def _released(self, connection: HttpConnection, now: float) -> None:
        """Keep a connection that is fit for another exchange, forget any other."""
        if connection.is_clean:
            connection.idle_since = now
            self._idle.append(connection)
            return
        connection.protocol.close()
        self._open.discard(connection)
