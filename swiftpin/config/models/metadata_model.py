"""The `metadata` part of a declaration."""

from __future__ import annotations

from pydantic import Field

from swiftpin.config.models.field_types import Name
from swiftpin.config.models.strict_model import StrictModel


class MetadataModel(StrictModel):
    """What identifies the declaration."""

    name: Name = Field(
        description="Name, unique within the kind: lower-case letters, digits and "
        "hyphens, at most 63. No unit, no default. Effect: a service's name is the "
        "first segment of its callers' paths.",
    )
