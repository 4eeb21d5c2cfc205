"""An object of the platform's store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformObject:
    """One object; `revision` is that of its last change."""

    name: str
    revision: int
    is_deleted: bool
    document: Mapping[str, Any]
    """The object as sent, without its metadata."""

    @property
    def content(self) -> Any:  # noqa: ANN401  # any JSON value
        """Return what its writer stored in it."""
        return self.document.get("specification")
