"""Why a target gave up slices."""

from __future__ import annotations

from enum import StrEnum


class ReleaseReason(StrEnum):
    """The holder revoked it, its grant lapsed, or the target stopped."""

    REVOKED = "revoked"
    LAPSED = "lapsed"
    STOPPED = "stopped"
