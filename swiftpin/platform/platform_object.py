"""An object of the platform's store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformObject:
    """One object; `revision` is that of its last change."""

    name: str
    """Empty where it can't be read."""

    revision: int
    """0 where it can't be read."""

    is_deleted: bool
    document: Mapping[str, Any]
    """The object as sent, without its metadata."""

    is_readable: bool = True
    """Whether name, revision and deletion are known."""

    @property
    def content(self) -> Any:  # noqa: ANN401  # any JSON value
        """Return what its writer stored in it."""
        return self.document.get("specification")
