"""Parts of the store that instances cache."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.const import STORE_PREFIX_CONFIG, STORE_PREFIX_GROUPS


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSource:
    """A prefix to watch and the prefixes under it that are cached."""

    watch_prefix: str
    prefixes: tuple[str, ...]

    def covers(self, name: str) -> bool:
        """Return whether an object is cached."""
        return name.startswith(self.prefixes)


SOURCES: Final = (
    StoreSource(
        watch_prefix=STORE_PREFIX_CONFIG,
        prefixes=(
            f"{STORE_PREFIX_CONFIG}service/",
            f"{STORE_PREFIX_CONFIG}profile/",
            f"{STORE_PREFIX_CONFIG}plannedstop/",
        ),
    ),
    StoreSource(watch_prefix=STORE_PREFIX_GROUPS, prefixes=(STORE_PREFIX_GROUPS,)),
)


def is_cached(name: str) -> bool:
    """Return whether instances cache the object."""
    return any(source.covers(name) for source in SOURCES)
