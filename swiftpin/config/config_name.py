"""Name of a declaration and of its objects in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Self

from swiftpin.config.config_kind import ConfigKind
from swiftpin.const import STORE_PREFIX_CONFIG, STORE_PREFIX_HISTORY

_KINDS_BY_VALUE: Final = {kind.value: kind for kind in ConfigKind}


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class ConfigName:
    """Kind and name, unique among all declarations."""

    kind: ConfigKind
    name: str

    @property
    def label(self) -> str:
        """Return `kind/name`, as instances report it with the generation in force."""
        return f"{self.kind}/{self.name}"

    @property
    def store_name(self) -> str:
        """Return the name of the object that holds the declaration."""
        return f"{STORE_PREFIX_CONFIG}{self.label}"

    @property
    def history_prefix(self) -> str:
        """Return the prefix of the kept earlier generations."""
        return f"{STORE_PREFIX_HISTORY}{self.label}/"

    def history_name(self, generation: int) -> str:
        """Return the name of the object that keeps one earlier generation."""
        return f"{self.history_prefix}{generation}"

    @classmethod
    def from_store_name(cls, store_name: str) -> Self | None:
        """Return the name, None when the object is no declaration in force."""
        if not store_name.startswith(STORE_PREFIX_CONFIG):
            return None
        word, _, name = store_name.removeprefix(STORE_PREFIX_CONFIG).partition("/")
        kind = _KINDS_BY_VALUE.get(word)
        if kind is None or not name or "/" in name:
            return None
        return cls(kind=kind, name=name)
