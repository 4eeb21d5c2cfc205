"""All declarations of the store as one reader saw them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.models.declaration_models import (
    Declaration,
    PlannedStopModel,
    ServiceModel,
)
from swiftpin.config.parse import parse_document
from swiftpin.config.stored_config import StoredConfig
from swiftpin.exceptions import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class Inventory:
    """Declarations, retired ones too, and the objects that could not be read."""

    stored_by_id: dict[ConfigName, StoredConfig] = field(default_factory=dict)
    faults_by_id: dict[ConfigName, str] = field(default_factory=dict)

    def in_force(self, kind: ConfigKind | None = None) -> list[StoredConfig]:
        """Return what is not retired, of one kind or all, sorted by name."""
        return [
            self.stored_by_id[config_name]
            for config_name in sorted(self.stored_by_id)
            if kind in (None, config_name.kind)
            and not self.stored_by_id[config_name].change.retired
        ]

    def names(self, kind: ConfigKind) -> list[str]:
        """Return the names in force of one kind."""
        return [stored.change.id.name for stored in self.in_force(kind)]

    def models(self, kind: ConfigKind) -> Iterator[Declaration]:
        """Yield the declarations in force of one kind that are sound."""
        for stored in self.in_force(kind):
            with suppress(ConfigurationError):
                yield parse_document(stored.change.id, stored.change.document)

    def services(self) -> list[ServiceModel]:
        """Return the services in force whose documents are sound."""
        models = self.models(ConfigKind.SERVICE)
        return [model for model in models if isinstance(model, ServiceModel)]

    def stopping_instances(self) -> set[str]:
        """Return the instances that have a planned stop."""
        return {
            model.spec.instance
            for model in self.models(ConfigKind.PLANNED_STOP)
            if isinstance(model, PlannedStopModel) and model.spec.instance is not None
        }

    def stopping_targets(self, service: str) -> set[str]:
        """Return the targets of a service that have a planned stop."""
        return {
            model.spec.target
            for model in self.models(ConfigKind.PLANNED_STOP)
            if isinstance(model, PlannedStopModel)
            and model.spec.service == service
            and model.spec.target is not None
        }

    def users_of(self, profile: str) -> list[str]:
        """Return the services in force that name the profile."""
        return [
            model.metadata.name
            for model in self.services()
            if model.spec.profile == profile
        ]
