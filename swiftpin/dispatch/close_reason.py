"""Why a target's queue takes no more requests."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Reason for closing a queue; it decides the error that waiting requests get."""

    TARGET_LEAVING = "target-leaving"
    TARGET_LOST = "target-lost"
    LEASE_LOST = "lease-lost"
    STOPPING = "stopping"
