"""Resets of connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

from swiftpin.core import callback

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Socket option that makes a close send a reset at once (linger on, zero seconds)."""


@callback
def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset, so that nothing more of it is delivered.

    After a plain close the kernel still delivers what was written: a part of an answer
    would look like the whole, and a call that was given up behind a cut link would be
    carried out seconds later, when the link is whole again.
    """
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is not None:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
