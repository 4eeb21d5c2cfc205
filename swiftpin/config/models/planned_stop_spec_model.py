"""Model of the `spec` of a planned stop."""

from __future__ import annotations

from typing import Self

from pydantic import Field, model_validator

from swiftpin.config.models.contradiction import contradiction
from swiftpin.config.models.field_types import Name
from swiftpin.config.models.strict_model import StrictModel


class PlannedStopSpecModel(StrictModel):
    """An order to stop an instance or a target gracefully."""

    instance: Name | None = Field(
        default=None,
        description="Name of the instance to stop. No unit. Default: none. Effect: the "
        "instance hands over its leases, takes no new requests and ends those in "
        "flight. Either this or service and target must be given.",
    )
    service: Name | None = Field(
        default=None,
        description="Service of the target to stop. No unit. Default: none. Effect: "
        "see target.",
    )
    target: Name | None = Field(
        default=None,
        description="Id of the target to stop. No unit. Default: none. Effect: the "
        "target gets no new work within seconds and its slices move; requests in "
        "flight end first.",
    )
    limit: float = Field(
        default=600.0,
        gt=0,
        le=86400,
        description="Unit: seconds. Default: 600. Effect: how long requests in flight "
        "may take to end.",
    )

    @model_validator(mode="after")
    def _check_what_stops(self) -> Self:
        """Require an instance, or a service and a target."""
        match self.instance, self.service, self.target:
            case (str(), None, None) | (None, str(), str()):
                return self
            case _:
                raise contradiction(
                    (), "either instance, or service and target must be given"
                )
