"""Constants shared by several packages."""

from __future__ import annotations

from typing import Final

HEADER_KEY: Final = "Swiftpin-Key"
HEADER_TIMEOUT: Final = "Swiftpin-Timeout"
HEADER_RESULT: Final = "Swiftpin-Result"
HEADER_SERVICE: Final = "Swiftpin-Service"
HEADER_SLICE: Final = "Swiftpin-Slice"
HEADER_GROUP: Final = "Swiftpin-Group"
HEADER_TERM: Final = "Swiftpin-Term"
HEADER_HOLDER: Final = "Swiftpin-Holder"
HEADER_REQUEST_ID: Final = "Swiftpin-Request-Id"
HEADER_HOPS: Final = "Swiftpin-Hops"
HEADER_CALLER: Final = "Swiftpin-Caller"
HEADER_TICKET: Final = "Swiftpin-Ticket"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_TARGET_REFUSAL: Final = "Target-Refusal"
HEADER_PREFIX: Final = "swiftpin-"

STORE_PREFIX_CONFIG: Final = "config/"
STORE_PREFIX_HISTORY: Final = "config/history/"
STORE_PREFIX_GROUPS: Final = "groups/"
STORE_PREFIX_JOURNAL: Final = "journal/"
STORE_PREFIX_QUARANTINE: Final = "quarantine/"

DEFAULT_SLICES: Final = 4096
DEFAULT_GROUPS: Final = 4

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection and must not be forwarded."""
