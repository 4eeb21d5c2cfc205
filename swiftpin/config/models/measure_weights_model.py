"""Model of the weights of the measures."""

from __future__ import annotations

from pydantic import Field

from swiftpin.config.models.strict_model import StrictModel


class MeasureWeightsModel(StrictModel):
    """Relative weights that placement decisions add up."""

    imbalance: float = Field(
        default=1.0,
        ge=0,
        le=1000,
        description="Weight of uneven load of the targets. No unit. Default: 1. "
        "Effect: higher moves slices sooner to even out the load.",
    )
    churn: float = Field(
        default=1.0,
        ge=0,
        le=1000,
        description="Weight of a key's change of owner. No unit. Default: 1. Effect: "
        "higher moves fewer slices.",
    )
    unavailable: float = Field(
        default=1.0,
        ge=0,
        le=1000,
        description="Weight of the time in which requests cannot be served. No unit. "
        "Default: 1. Effect: higher moves slices sooner off a target that is lost, "
        "and refrains from moves that would interrupt requests.",
    )
