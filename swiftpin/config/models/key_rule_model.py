"""Models of the rules that find a request's key."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from swiftpin.config.models.strict_model import StrictModel


class HeaderKeyRuleModel(StrictModel):
    """Only the header carries the key."""

    source: Literal["header"] = Field(
        description="The word header. No unit, no default. Effect: only the header "
        "Swiftpin-Key carries the key.",
    )


class PathKeyRuleModel(StrictModel):
    """A segment of the path carries the key."""

    source: Literal["path"] = Field(
        description="The word path. No unit, no default. Effect: a segment of the "
        "path carries the key when the header is absent.",
    )
    segment: int = Field(
        ge=0,
        le=63,
        description="Unit: path segments, counted from 0 after the service. No "
        "default. Effect: which segment is the key.",
    )


class QueryKeyRuleModel(StrictModel):
    """A parameter of the query carries the key."""

    source: Literal["query"] = Field(
        description="The word query. No unit, no default. Effect: a parameter of the "
        "query carries the key when the header is absent.",
    )
    parameter: str = Field(
        min_length=1,
        max_length=128,
        description="Name of the parameter. No unit, no default. Effect: which "
        "parameter is the key.",
    )


KeyRuleModel = Annotated[
    HeaderKeyRuleModel | PathKeyRuleModel | QueryKeyRuleModel,
    Field(discriminator="source"),
]
