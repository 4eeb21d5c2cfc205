"""An object of the platform's store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformObject:
    """An object; `revision` is the store revision of its last change."""

    name: str
    """Empty if it can't be decoded."""

    revision: int
    """0 if it can't be decoded."""

    is_deleted: bool
    document: Mapping[str, Any]
    """Fields of the object as sent by the store."""

    is_readable: bool = True
    """Whether name, revision and deletion could be decoded."""

    @property
    def content(self) -> Any:  # noqa: ANN401  # any JSON value
        """Return the content stored by the object's writer."""
        return self.document.get("specification")
