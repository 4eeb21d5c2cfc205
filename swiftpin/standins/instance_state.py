"""State of a listed instance."""

from __future__ import annotations

from enum import StrEnum


class InstanceState(StrEnum):
    """State in the platform's list; a gone instance is not listed."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"
