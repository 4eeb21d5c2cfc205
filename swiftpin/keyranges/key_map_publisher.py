"""Publication of a service's key map to the instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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
    ) -> None:
        self._service = service
        self._term = term
        self._state = state
        self._on_map = on_map
        self._count_members = count_members
        self._fences = fences
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
        if ranges == self._published:
            return
        self._published = ranges
        self._on_map(
            KeyMap(
                service=self._service,
                term=self._term,
                number=self._fences.allocate_map_number(),
                firsts=ranges[0],
                owners=ranges[1],
            )
        )

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
