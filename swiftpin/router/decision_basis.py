"""Versions of the data that a routing decision was based on."""

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
    """Versions of the key map and the target list when a target was chosen.

    They show in the log whether a request was routed by an outdated key map or target
    list. Both may have changed before the log line is written.
    """

    key_map: tuple[int, int] | None
    """Term and number of the service's key map, None if it has none."""

    targets: int
    """Store revision up to which the target list is known."""

    targets_age: float
    """Age of the target list in seconds; later changes are not known."""

    targets_source: str
    """Source that last confirmed the target list."""

    @callback
    def format_fields(self) -> str:
        """Return the fields for the request's log line."""
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
    """Return the versions that a decision about a service is based on now."""
    key_map = maps.maps_by_service.get(service)
    return DecisionBasis(
        key_map=None if key_map is None else (key_map.term, key_map.number),
        targets=directory.version,
        targets_age=directory.data_age(suspend_aware_now()),
        targets_source=directory.data_source,
    )
