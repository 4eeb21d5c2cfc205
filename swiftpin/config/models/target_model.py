"""Model of one target of a service."""

from __future__ import annotations

from pydantic import Field

from swiftpin.config.models.field_types import Address, Name
from swiftpin.config.models.strict_model import StrictModel


class TargetModel(StrictModel):
    """A target server."""

    id: Name = Field(
        description="Name of the target, unique in its service. No unit, no default. "
        "Effect: the store and the logs name the target by it; a target "
        "that gets another address keeps its keys under the same id.",
    )
    address: Address = Field(
        description="Where the target listens, IP:port. No unit, no default. Effect: "
        "requests and control messages go there.",
    )
    zone: Name = Field(
        description="Availability zone of the target. No unit, no default. Effect: "
        "lease holder and standby are preferred in other zones.",
    )
    slots: int = Field(
        default=2,
        ge=1,
        le=1024,
        description="Unit: requests. Default: 2. Effect: how many requests the target "
        "runs at once; the rest waits in its queue.",
    )
    connections: int = Field(
        default=100,
        ge=1,
        le=65535,
        description="Unit: connections. Default: 100. Effect: the most connections "
        "that are opened to the target.",
    )
