"""Validation of the daemon's settings."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Self

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    model_validator,
)

from swiftpin.gateway.log_level import LogLevel
from swiftpin.gateway.settings import (
    DEFAULT_GRANT_INTERVAL,
    DEFAULT_GRANT_TTL,
    DEFAULT_HEARTBEAT_INTERVAL,
    DEFAULT_HOLDER_LIMIT,
    DEFAULT_LOG_SAMPLE,
    DEFAULT_OUTAGE_LIMIT,
    DEFAULT_REQUEST_LIMIT,
    DEFAULT_STOP_LIMIT,
    Settings,
)
from swiftpin.helpers.address import Address, parse_address
from swiftpin.security.file_rules import check_all_or_none, check_ca_present
from swiftpin.security.store_files import check_store_files

Name = Annotated[
    str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)
]
"""The instance id is `<name>/<incarnation>`, so a name holds no slash or space."""

Url = Annotated[str, StringConstraints(pattern=r"^http://[^\s/?#]+/?$")]
StoreUrl = Annotated[str, StringConstraints(pattern=r"^https?://[^\s/?#]+/?$")]
ListenAddress = Annotated[Address, BeforeValidator(parse_address)]
Seconds = Annotated[float, Field(gt=0, le=86_400, allow_inf_nan=False)]


class SettingsModel(BaseModel):
    """Settings as text, from flags and environment variables."""

    model_config = ConfigDict(frozen=True, extra="forbid", arbitrary_types_allowed=True)

    name: Name
    zone: Name
    listen: ListenAddress
    peer_listen: ListenAddress
    forward_listen: ListenAddress
    admin_listen: ListenAddress
    store_url: StoreUrl
    instances_url: Url
    log_level: LogLevel = LogLevel.INFO
    log_sample: Annotated[float, Field(ge=0, le=1)] = DEFAULT_LOG_SAMPLE
    trace: Path | None = None
    heartbeat_interval: Seconds = DEFAULT_HEARTBEAT_INTERVAL
    holder_limit: Seconds = DEFAULT_HOLDER_LIMIT
    grant_interval: Seconds = DEFAULT_GRANT_INTERVAL
    grant_ttl: Seconds = DEFAULT_GRANT_TTL
    outage_limit: Seconds = DEFAULT_OUTAGE_LIMIT
    stop_limit: Seconds = DEFAULT_STOP_LIMIT
    request_limit: Annotated[int, Field(ge=1, le=1_000_000)] = DEFAULT_REQUEST_LIMIT
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

    @model_validator(mode="after")
    def _check_intervals(self) -> Self:
        """Refuse limits that would run out between two messages of one kind."""
        if self.heartbeat_interval >= self.holder_limit:
            raise ValueError("--heartbeat-interval must be below --holder-limit")
        if self.grant_interval >= self.grant_ttl:
            raise ValueError("--grant-interval must be below --grant-ttl")
        return self

    @model_validator(mode="after")
    def _check_files(self) -> Self:
        """Refuse files of which one is of no use without another."""
        check_all_or_none(
            ("--listen-tls-cert", self.listen_tls_cert),
            ("--listen-tls-key", self.listen_tls_key),
        )
        check_all_or_none(
            ("--peer-tls-cert", self.peer_tls_cert),
            ("--peer-tls-key", self.peer_tls_key),
            ("--peer-tls-ca", self.peer_tls_ca),
        )
        targets_cert = ("--targets-tls-cert", self.targets_tls_cert)
        check_all_or_none(targets_cert, ("--targets-tls-key", self.targets_tls_key))
        check_ca_present(targets_cert, ("--targets-tls-ca", self.targets_tls_ca))
        check_store_files(
            self.store_url,
            ca=self.store_tls_ca,
            cert=self.store_tls_cert,
            key=self.store_tls_key,
        )
        return self

    def to_settings(self) -> Settings:
        """Return the settings as the rest of swiftpin sees them."""
        return Settings(**dict(self))
