"""A change that is planned but not made."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from swiftpin.config.change_kind import ChangeKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.stored_config import StoredConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedChange:
    """A declaration's document after the change, and what was seen before."""

    id: ConfigName
    kind: ChangeKind
    before: StoredConfig | None
    document: dict[str, Any]

    @property
    def generation(self) -> int:
        """Return the generation in force after the change."""
        if self.before is None:
            return 1
        if self.kind is ChangeKind.UNCHANGED:
            return self.before.change.generation
        return self.before.change.generation + 1

    def signed(self, *, author: str, writer: str, written_at: float) -> ConfigObject:
        """Return the change to write; `written_at` is Unix seconds."""
        return ConfigObject(
            id=self.id,
            generation=self.generation,
            writer=writer,
            author=author,
            written_at=written_at,
            retired=self.kind is ChangeKind.RETIRE,
            document=self.document,
        )
