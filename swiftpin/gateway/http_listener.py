"""Servers for callers and for other instances."""

from __future__ import annotations

import asyncio
from asyncio import AbstractServer
from collections import Counter
from collections.abc import Callable
import socket
from typing import Any, Final

from swiftpin.core import callback
from swiftpin.exceptions import RequestError
from swiftpin.gateway.bounded_input import BoundedInput
from swiftpin.gateway.close_reason import CloseReason
from swiftpin.gateway.http_protocol import GatewayServer, HttpHandler
from swiftpin.gateway.input_limits import InputLimits
from swiftpin.gateway.input_turns import InputTurns
from swiftpin.helpers.address import Address
from swiftpin.security.client_tls import CLOSE_TIMEOUT
from swiftpin.security.server_tls import HANDSHAKE_TIMEOUT, ServerTls

IDLE_LIMIT: Final = 60.0
"""Seconds for which a connection may wait for a request's whole head, the time
between two requests included; a caller that feeds its head byte by byte gets no
more."""

LINGER_LIMIT: Final = 5.0
MAX_LINE: Final = 8 * 1024
MAX_HEADERS: Final = 128
FORWARD_LINE: Final = 16 * 1024
FORWARD_HEADERS: Final = 192
"""Above the limits for callers, since the entry instance adds headers."""

BACKLOG: Final = 1024
ACCEPT_HANDLES: Final = 8
"""Handles of a listening socket. uvloop accepts one connection of each in a turn of the
event loop."""

CHECK_INTERVAL: Final = 0.25
"""Seconds between two checks for clients that take too long."""

CUT_OFF_TIME: Final = 0.3
"""Seconds for requests to end by themselves before they are cut off, and as many to end
then. Zero would be no limit for the library."""

LIBRARY_IDLE_LIMIT: Final = 86_400.0
"""Seconds for the library's own limit on idle connections, which is not used."""


class HttpListener:
    """A listening socket and the connections that came through it.

    `turns` is shared by the listeners of a process.
    """

    def __init__(
        self,
        handler: HttpHandler,
        *,
        max_line: int,
        max_headers: int,
        tls: ServerTls | None = None,
        on_unparsed: Callable[[RequestError], None] | None = None,
        input_limits: InputLimits | None = None,
        turns: InputTurns | None = None,
    ) -> None:
        self._tls = tls
        self._turns = turns or InputTurns()
        self._server = GatewayServer(
            handler,
            input_limits=input_limits
            or InputLimits(head_timeout=IDLE_LIMIT, idle_timeout=IDLE_LIMIT),
            turns=self._turns,
            on_unparsed=on_unparsed or _ignore,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=LIBRARY_IDLE_LIMIT,
            lingering_time=LINGER_LIMIT,
            max_line_size=max_line,
            max_headers=max_headers,
        )
        self._socket_servers: list[AbstractServer] = []
        self._check: asyncio.TimerHandle | None = None

    async def async_setup(self, address: Address) -> Address:
        """Listen; return the address with the port that was taken.

        Raises `OSError` when the address cannot be used.
        """
        first = await self._async_listen(host=address.host, port=address.port)
        listening = first.sockets[0]
        try:
            await self._async_add_handles(listening)
        except OSError:
            self.stop_listening()
            raise
        self._check_connections()
        return Address(host=address.host, port=listening.getsockname()[1])

    @callback
    def count_requesting_connections(self) -> int:
        """Return the number of open connections that have sent a request."""
        return self._server.requesting_connections

    @property
    def closed(self) -> Counter[CloseReason]:
        """Return how many connections were closed because of clients, by reason."""
        return self._server.closed

    @callback
    def set_max_connections(self, served: float, opened: float) -> None:
        """Set how many connections may be open.

        Above `served` a connection without a request is closed for each new one, above
        `opened` the new one is closed if there is none.
        """
        self._server.served_connections = served
        self._server.max_connections = opened

    @property
    def input_limits(self) -> InputLimits:
        """Return the limits on the input of connections."""
        return self._server.input_limits

    @callback
    def set_input_limits(self, limits: InputLimits) -> None:
        """Replace the limits on the input, also of connections that are open."""
        self._server.input_limits = limits

    @callback
    def stop_listening(self) -> None:
        """Take no more connections."""
        for server in self._socket_servers:
            server.close()
        self._socket_servers.clear()

    async def async_unload(self) -> None:
        """Close idle connections, and cut off what is still being served."""
        self.stop_listening()
        if self._check is not None:
            self._check.cancel()
            self._check = None
        self._server.pre_shutdown()
        await self._server.shutdown(CUT_OFF_TIME)

    async def _async_add_handles(self, listening: socket.socket) -> None:
        """Listen through further handles of a socket that listens already."""
        for _ in range(ACCEPT_HANDLES - 1):
            handle = socket.fromfd(listening.fileno(), listening.family, listening.type)
            await self._async_listen(sock=handle)

    async def _async_listen(
        self,
        **where: Any,  # noqa: ANN401  # passed on
    ) -> asyncio.Server:
        """Serve connections of an address, or of a socket that listens already."""
        tls = self._tls
        server = await asyncio.get_running_loop().create_server(
            self._make_connection,
            backlog=BACKLOG,
            ssl=None if tls is None else tls.listen_context,
            ssl_handshake_timeout=None if tls is None else HANDSHAKE_TIMEOUT,
            ssl_shutdown_timeout=None if tls is None else CLOSE_TIMEOUT,
            **where,
        )
        self._socket_servers.append(server)
        return server

    @callback
    def _make_connection(self) -> BoundedInput:
        """Return the protocol of a new connection."""
        return BoundedInput(self._server(), self._turns)

    @callback
    def _check_connections(self) -> None:
        """Close the connections of clients that take too long, again and again."""
        loop = asyncio.get_running_loop()
        self._server.close_expired(loop.time())
        self._check = loop.call_later(CHECK_INTERVAL, self._check_connections)


@callback
def _ignore(err: RequestError) -> None:
    """Do nothing."""
