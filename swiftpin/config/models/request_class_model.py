"""Model of a class of requests."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, StringConstraints

from swiftpin.config.models.field_types import Name
from swiftpin.config.models.strict_model import StrictModel

Method = Annotated[str, StringConstraints(pattern=r"^[A-Z]+$", max_length=20)]


class RequestClassModel(StrictModel):
    """Requests that are treated alike; the first class that matches counts."""

    name: Name = Field(
        description="Name of the class, unique in its profile. No unit, no default. "
        "Effect: logs and metrics name the class by it.",
    )
    methods: list[Method] = Field(
        default=[],
        description="HTTP methods, upper case. No unit. Default: empty, which means "
        "any. Effect: only requests with one of them belong to the class.",
    )
    path: str = Field(
        default="*",
        min_length=1,
        max_length=512,
        description="Glob over the path after the service, as in /bookings/*; * "
        "stands for any characters, slashes too. No unit. Default: *. Effect: only "
        "requests whose path matches belong to the class.",
    )
    priority: int = Field(
        ge=0,
        le=99,
        description="Place in the targets' queues, lower goes first. No unit, no "
        "default. Effect: a waiting request goes before all of a higher number.",
    )
    repeatable: bool = Field(
        description="true or false. No unit, no default. Effect: false makes requests "
        "run at most once: they must carry an Idempotency-Key and are recorded "
        "before they run.",
    )
    weight: float = Field(
        default=1.0,
        ge=0,
        le=1000,
        description="Share in the measure of unavailable time. No unit. Default: 1. "
        "Effect: a request of the class that cannot be served counts that often.",
    )
