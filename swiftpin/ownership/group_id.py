"""Name of a group of slices."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.const import STORE_PREFIX_GROUPS


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class GroupId:
    """A group: its service and its number, 0 to groups - 1."""

    service: str
    group: int

    @property
    def store_name(self) -> str:
        """Return the name of the group's record in the store."""
        return f"{STORE_PREFIX_GROUPS}{self.service}/{self.group}"
