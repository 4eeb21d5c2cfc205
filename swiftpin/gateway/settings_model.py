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

Name = Annotated[
    str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)
]
"""The instance id is `<name>/<incarnation>`, so a name holds no slash or space."""

Url = Annotated[str, StringConstraints(pattern=r"^http://[^\s/?#]+/?$")]
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
    store_url: Url
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

    @model_validator(mode="after")
    def _check_intervals(self) -> Self:
        """Refuse limits that would run out between two messages of one kind."""
        if self.heartbeat_interval >= self.holder_limit:
            raise ValueError("--heartbeat-interval must be below --holder-limit")
        if self.grant_interval >= self.grant_ttl:
            raise ValueError("--grant-interval must be below --grant-ttl")
        return self

    def to_settings(self) -> Settings:
        """Return the settings as the rest of swiftpin sees them."""
        return Settings(**dict(self))
