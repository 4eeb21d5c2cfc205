"""Versions of what a request was decided by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.helpers.logging_format import ABSENT, format_text_cached
from swiftpin.router.key_maps import KeyMaps

MILLISECONDS: Final = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class DecisionBasis:
    """What the instance believed when it chose a target.

    Without it one sees where a request went, but not whether an old key map or an old
    list of targets sent it there: both may have changed until the line is written.
    """

    key_map: tuple[int, int] | None
    """Term and number of the service's map, None where there is none."""

    targets: int
    """The store's revision up to which the list of targets is known."""

    targets_age: float
    """Seconds for which a target may have changed unseen."""

    targets_source: str
    """Who confirmed the list last."""

    @callback
    def format_fields(self) -> str:
        """Return the pairs of the request's log line."""
        key_map = ABSENT
        if self.key_map is not None:
            key_map = f"{self.key_map[0]}.{self.key_map[1]}"
        age = self.targets_age * MILLISECONDS
        source = format_text_cached(self.targets_source)
        return (
            f"key_map={key_map} targets={self.targets} targets_age_ms={age:.0f} "
            f"targets_source={source}"
        )


@callback
def current_basis(
    maps: KeyMaps, directory: TargetDirectory, service: str
) -> DecisionBasis:
    """Return what is believed now about a service."""
    key_map = maps.maps_by_service.get(service)
    return DecisionBasis(
        key_map=None if key_map is None else (key_map.term, key_map.number),
        targets=directory.version,
        targets_age=directory.picture_age(suspend_aware_now()),
        targets_source=directory.picture_source,
    )
