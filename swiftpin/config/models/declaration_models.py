"""Models of whole declarations, one for each kind."""

from __future__ import annotations

from typing import Final, Literal

from pydantic import Field

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.models.metadata_model import MetadataModel
from swiftpin.config.models.planned_stop_spec_model import PlannedStopSpecModel
from swiftpin.config.models.profile_spec_model import ProfileSpecModel
from swiftpin.config.models.service_spec_model import ServiceSpecModel
from swiftpin.config.models.strict_model import StrictModel

API_VERSION: Final = "swiftpin/v1"


class DeclarationModel(StrictModel):
    """What every declaration has."""

    apiVersion: Literal["swiftpin/v1"] = Field(  # noqa: N815 - name in the files
        description="The word swiftpin/v1. No unit, no default. Effect: the version "
        "of these fields.",
    )
    metadata: MetadataModel = Field(
        description="What identifies the declaration. No unit, no default. Effect: a "
        "declaration replaces the one of the same kind and name.",
    )


class ServiceModel(DeclarationModel):
    """Declares a service and its targets."""

    kind: Literal["Service"] = Field(
        description="The word Service. No unit, no default. Effect: which fields "
        "spec has.",
    )
    spec: ServiceSpecModel = Field(
        description="The service. No unit, no default. Effect: see its fields.",
    )


class ProfileModel(DeclarationModel):
    """Declares a profile that services can name."""

    kind: Literal["Profile"] = Field(
        description="The word Profile. No unit, no default. Effect: which fields "
        "spec has.",
    )
    spec: ProfileSpecModel = Field(
        default=ProfileSpecModel(),
        description="The profile. No unit. Default: all defaults. Effect: see its "
        "fields.",
    )


class PlannedStopModel(DeclarationModel):
    """Orders a planned stop of an instance or a target."""

    kind: Literal["PlannedStop"] = Field(
        description="The word PlannedStop. No unit, no default. Effect: which fields "
        "spec has.",
    )
    spec: PlannedStopSpecModel = Field(
        description="The planned stop. No unit, no default. Effect: see its fields.",
    )


Declaration = ServiceModel | ProfileModel | PlannedStopModel

MODELS_BY_KIND: Final[dict[ConfigKind, type[Declaration]]] = {
    ConfigKind.SERVICE: ServiceModel,
    ConfigKind.PROFILE: ProfileModel,
    ConfigKind.PLANNED_STOP: PlannedStopModel,
}

KINDS_BY_WORD: Final[dict[str, ConfigKind]] = {
    "Service": ConfigKind.SERVICE,
    "Profile": ConfigKind.PROFILE,
    "PlannedStop": ConfigKind.PLANNED_STOP,
}
