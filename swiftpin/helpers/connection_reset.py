"""Resets of connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

from swiftpin.core import callback

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` that makes a close send a reset (enabled, zero seconds)."""


@callback
def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Reset a connection, so that no buffered data is delivered any more.

    After a normal close the kernel still delivers buffered data. A partial answer would
    then look complete, and an abandoned call would be executed seconds later when an
    interrupted network link recovers.
    """
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is not None:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
