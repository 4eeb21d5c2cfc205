"""Settings of the daemon."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from swiftpin.gateway.log_level import LogLevel
from swiftpin.helpers.address import Address

DEFAULT_LOG_SAMPLE: Final = 1.0
DEFAULT_HEARTBEAT_INTERVAL: Final = 0.25
DEFAULT_HOLDER_LIMIT: Final = 1.0
DEFAULT_GRANT_INTERVAL: Final = 0.3
DEFAULT_GRANT_TTL: Final = 1.0
DEFAULT_OUTAGE_LIMIT: Final = 3600.0
DEFAULT_STOP_LIMIT: Final = 600.0
DEFAULT_REQUEST_LIMIT: Final = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """What one instance is told at its start; times are in seconds.

    `listen` takes callers, `forward_listen` requests from other instances,
    `peer_listen` their control messages, `admin_listen` metrics and health.
    `log_sample` is the share of successful requests that are logged, 0 to 1.
    `request_limit` bounds the requests served at once. Files of certificates, keys
    and the token are None where that border has none.
    """

    name: str
    zone: str
    listen: Address
    peer_listen: Address
    forward_listen: Address
    admin_listen: Address
    store_url: str
    instances_url: str
    log_level: LogLevel = LogLevel.INFO
    log_sample: float = DEFAULT_LOG_SAMPLE
    trace: Path | None = None
    heartbeat_interval: float = DEFAULT_HEARTBEAT_INTERVAL
    holder_limit: float = DEFAULT_HOLDER_LIMIT
    grant_interval: float = DEFAULT_GRANT_INTERVAL
    grant_ttl: float = DEFAULT_GRANT_TTL
    outage_limit: float = DEFAULT_OUTAGE_LIMIT
    stop_limit: float = DEFAULT_STOP_LIMIT
    request_limit: int = DEFAULT_REQUEST_LIMIT
    listen_tls_cert: Path | None = None
    listen_tls_key: Path | None = None
    peer_tls_cert: Path | None = None
    peer_tls_key: Path | None = None
    peer_tls_ca: Path | None = None
    store_tls_ca: Path | None = None
    store_tls_cert: Path | None = None
    store_tls_key: Path | None = None
    store_token_file: Path | None = None
    targets_tls_ca: Path | None = None
    targets_tls_cert: Path | None = None
    targets_tls_key: Path | None = None
