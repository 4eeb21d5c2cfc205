"""Model of the `spec` of a service."""

from __future__ import annotations

from typing import Self

from pydantic import Field, model_validator

from swiftpin.config.models.contradiction import contradiction
from swiftpin.config.models.field_types import Name
from swiftpin.config.models.strict_model import StrictModel
from swiftpin.config.models.target_model import TargetModel
from swiftpin.const import DEFAULT_GROUPS, DEFAULT_SLICES


class ServiceSpecModel(StrictModel):
    """A service, its profile and its targets."""

    profile: Name = Field(
        default="default",
        description="Name of the profile. No unit. Default: default, which is built "
        "in unless a profile of that name is declared. Effect: how the "
        "service's requests are treated.",
    )
    keyed: bool = Field(
        description="true or false. No unit, no default. Effect: true gives each key "
        "one owner among the targets; false lets any target serve any request. "
        "Cannot change later.",
    )
    slices: int = Field(
        default=DEFAULT_SLICES,
        ge=1,
        le=65536,
        description=f"Unit: slices. Default: {DEFAULT_SLICES}. Effect: into how many "
        "slices the keys are hashed; the smallest part of the load that can "
        "move. Cannot change later. Without meaning when keyed is false.",
    )
    groups: int = Field(
        default=DEFAULT_GROUPS,
        ge=1,
        le=1024,
        description=f"Unit: groups. Default: {DEFAULT_GROUPS}. Effect: into how many "
        "groups, each with a lease of its own, slices and targets are divided; at "
        "most the number of targets. Cannot change later. Without meaning when "
        "keyed is false.",
    )
    checks_grants: bool = Field(
        default=True,
        description="true or false. No unit. Default: true. Effect: true says that "
        "the targets refuse orders of an older term; false makes only the lease "
        "holder send to them and a takeover wait longer. Can change only while the "
        "service is retired.",
    )
    targets: list[TargetModel] = Field(
        min_length=1,
        description="List of targets. No unit, no default. Effect: the servers that "
        "answer; one that is left out gets no new work.",
    )

    @model_validator(mode="after")
    def _check_targets(self) -> Self:
        """Refuse targets that share an id or an address, and groups without one."""
        positions_by_value: dict[str, int] = {}
        for position, target in enumerate(self.targets):
            for field in ("id", "address"):
                value = getattr(target, field)
                first = positions_by_value.setdefault(value, position)
                if first != position:
                    raise contradiction(
                        ("targets", position, field),
                        f"{value} is that of targets.{first} already",
                    )
        if self.keyed and self.groups > min(len(self.targets), self.slices):
            raise contradiction(
                ("groups",),
                f"{self.groups} groups need as many targets and slices, "
                f"there are {len(self.targets)} and {self.slices}",
            )
        return self
