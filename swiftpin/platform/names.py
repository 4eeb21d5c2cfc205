"""Names of the platform's headers, paths, object kinds and settings."""

from __future__ import annotations

from typing import Final

HEADER_REQUEST_ID: Final = "Swiftpin-Request-Id"
HEADER_DEADLINE: Final = "Swiftpin-Deadline-Milliseconds"
HEADER_SIGNATURE: Final = "Swiftpin-Upstream-Signature"
HEADER_EXPECTED_INSTANCE: Final = "Swiftpin-Expected-Instance"
HEADER_LOAD: Final = "Swiftpin-Upstream-Load"
HEADER_NOT_EXECUTED: Final = "Swiftpin-Not-Executed"
HEADER_INSTANCE: Final = "Swiftpin-Instance-Id"
HEADER_KEY: Final = "Swiftpin-Shard-Key"
HEADER_HANDOVER: Final = "Swiftpin-Handover"
HEADER_RATE_LIMIT: Final = "Server-Limit"
HEADER_DRAINING: Final = "Server-Leaving"
HEADER_STORE_ERA: Final = "Store-Era"

PATH_READINESS: Final = "/api/readiness"
PATH_GRANT: Final = "/api/grant"
PATH_RELEASE: Final = "/api/release"
PATH_OBJECTS: Final = "/api/objects"

KIND_CONFIGURATION: Final = "config"
NAME_CONFIGURATION: Final = "main"
KIND_TARGETS: Final = "servers"
KIND_EVACUATIONS: Final = "evacuations"

CONTRACT_PRESSURE: Final = "pressure"

ENV_SETTINGS: Final = "SWIFTPIN_SETTINGS"
CONTENT_TYPE_JSON: Final = "application/json"
BYTES_PER_MEGABIT: Final = 125_000
BYTES_PER_MEGABYTE: Final = 1_000_000
MILLISECONDS_PER_SECOND: Final = 1000.0
