"""All declarations of the store as one reader saw them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.models.declaration_models import ServiceModel
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

    def services(self) -> Iterator[ServiceModel]:
        """Yield the services in force whose documents are sound."""
        for stored in self.in_force(ConfigKind.SERVICE):
            try:
                model = parse_document(stored.change.id, stored.change.document)
            except ConfigurationError:
                continue
            if isinstance(model, ServiceModel):
                yield model

    def users_of(self, profile: str) -> list[str]:
        """Return the services in force that name the profile."""
        return [
            model.metadata.name
            for model in self.services()
            if model.spec.profile == profile
        ]
