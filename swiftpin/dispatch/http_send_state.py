"""How far the sending of one request has come."""

from __future__ import annotations

from dataclasses import dataclass
import math


@dataclass(kw_only=True, slots=True)
class HttpSendState:
    """Whether a request may have reached a server.

    `written` turns True just before the first byte is handed to a connection, and
    back to False only once the server said that it did not run the request. Whoever
    ends the request early reads it to tell "not run" from "unknown".
    """

    written: bool = False
    connected_at: float = -math.inf
    """Suspend-aware time at which the connection of the last write was opened."""
