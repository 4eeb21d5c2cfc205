"""What is put before the targets in the overload experiment."""

from __future__ import annotations

from enum import StrEnum


class OverloadContender(StrEnum):
    """swiftpin's gateways, or proxies without queue and priorities."""

    SWIFTPIN = "swiftpin"
    ROUND_ROBIN = "round-robin"
    LEAST_IN_FLIGHT = "least-in-flight"
