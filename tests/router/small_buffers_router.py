"""Starts a router whose callers' sockets have small send buffers.

The kernel of a developer's machine buffers several megabytes for each connection, so
that slow readers would not be noticed by the process.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from typing import Final, cast

from swiftpin.gateway.http_listener import HttpListener
from swiftpin.helpers.address import Address
from swiftpin.router.__main__ import main

SEND_BUFFER: Final = 16 * 1024
"""Bytes of each connection's send buffer as asked for; the kernel doubles it."""


def limit_send_buffers() -> None:
    """Let accepted sockets inherit a small send buffer from their listener."""
    async_setup = HttpListener.async_setup

    async def async_setup_small(self: HttpListener, address: Address) -> Address:
        listening = await async_setup(self, address)
        for it in cast(asyncio.Server, self._socket_servers[0]).sockets:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        return listening

    HttpListener.async_setup = async_setup_small  # type: ignore[method-assign]


if __name__ == "__main__":
    limit_send_buffers()
    sys.exit(main())
