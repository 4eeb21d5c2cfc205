"""Why a listener closed the connection of a client."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """What a client did, or what others needed its connection for."""

    SILENT = "silent"
    """It sent no request, or not the rest of one, in time."""

    UNREAD = "unread"
    """It did not read an answer."""

    SENT_ON = "sent_on"
    """It went on sending after its last answer."""

    REPLACED = "replaced"
    """It had no request, and a new connection needed its place."""

    CROWDED = "crowded"
    """It was new, and all places were taken by connections with requests."""

    HEADS = "heads"
    """Its head was incomplete, and others needed the memory."""
