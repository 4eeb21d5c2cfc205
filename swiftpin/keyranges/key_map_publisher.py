"""Publication of a service's key map to the instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.key_map import KeyMap

PUBLISH_DELAY: Final = 0.02
"""Seconds for which changes of the map are collected. Moves finish in bursts, and each
published change is sent to every instance."""

SMALL_FLEET_SIZE: Final = 12
"""Number of instances above which the delay grows in proportion to the fleet: 72
instances that received 50 changes per second spent most of their CPU time on them."""

FACTORS_INTERVAL: Final = 15.0
"""Minimum seconds between two publications of the targets' speeds. Each is a complete
map of some 5 KB to every instance: 0.2 Mbit/s for 85 of them. The speed that a new
assigner starts with is at most that old."""

FACTOR_DIGITS: Final = 2
"""Decimal places of the published factors, which are accurate to a tenth."""


class KeyMapPublisher:
    """Publishes the key map whenever it differs from the last published one."""

    def __init__(
        self,
        *,
        service: str,
        term: int,
        state: AssignmentState,
        on_map: Callable[[KeyMap], None],
        count_members: Callable[[], int],
        fences: Fences,
        get_factors: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self._service = service
        self._term = term
        self._state = state
        self._on_map = on_map
        self._count_members = count_members
        self._fences = fences
        self._get_factors = get_factors
        """Returns the factors of the targets whose speeds are to be published."""

        self._factors_by_target: dict[str, float] = {}
        self._factors_published_at = -math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._published: tuple[tuple[int, ...], tuple[str, ...]] | None = None

    @callback
    def publish(self) -> None:
        """Schedule publication of the map, including changes made until then."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            delay = PUBLISH_DELAY * max(1.0, self._count_members() / SMALL_FLEET_SIZE)
            self._timer = loop.call_later(delay, self._publish_now)

    @callback
    def unload(self) -> None:
        """Cancel the scheduled publication."""
        if self._timer is not None:
            self._timer.cancel()

    @callback
    def _publish_now(self) -> None:
        """Publish the current map if it differs from the last published one."""
        self._timer = None
        ranges = self._build_ranges()
        if not self._update_factors() and ranges == self._published:
            return
        self._published = ranges
        self._on_map(
            KeyMap(
                service=self._service,
                term=self._term,
                number=self._fences.allocate_map_number(),
                firsts=ranges[0],
                owners=ranges[1],
                factors_by_target=self._factors_by_target,
            )
        )

    @callback
    def _update_factors(self) -> bool:
        """Update the factors to be published; return whether they have changed."""
        now = asyncio.get_running_loop().time()
        factors = {
            target: round(factor, FACTOR_DIGITS)
            for target, factor in self._get_factors().items()
        }
        if (
            now - self._factors_published_at < FACTORS_INTERVAL
            or factors == self._factors_by_target
        ):
            return False
        self._factors_by_target = factors
        self._factors_published_at = now
        return True

    @callback
    def _build_ranges(self) -> tuple[tuple[int, ...], tuple[str, ...]]:
        """Return the first key of each range, and the owners of the ranges."""
        firsts: list[int] = []
        owners: list[str] = []
        granted_fences = self._state.granted_fences
        for segment in self._state.current.segments:
            is_served = not segment.former_owner and segment.fence in granted_fences
            owner = segment.owner if is_served else ""
            if owners and owners[-1] == owner:
                continue
            firsts.append(segment.first)
            owners.append(owner)
        return tuple(firsts), tuple(owners)
