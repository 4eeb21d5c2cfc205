"""Telling the instances which target serves which key."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.assignment_state import AssignmentState
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.key_map import KeyMap

PUBLISH_DELAY: Final = 0.02
"""Seconds for which changes of the map are collected: moves end in bursts, and each
change goes to every instance."""

SMALL_FLEET_SIZE: Final = 12
"""Instances above which changes are collected for longer, in proportion: 72 instances
that took 50 changes a second spent most of their processor time on them."""


class KeyMapPublisher:
    """Hands out a map whenever the one that stands differs from the last one."""

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
        """Hand out the present map soon, together with what changes until then."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            delay = PUBLISH_DELAY * max(1.0, self._count_members() / SMALL_FLEET_SIZE)
            self._timer = loop.call_later(delay, self._publish_now)

    @callback
    def unload(self) -> None:
        """Hand out nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    @callback
    def _publish_now(self) -> None:
        """Hand out the present map if it differs from the last one."""
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
        """Return the first keys of the ranges and the targets that serve them."""
        firsts: list[int] = []
        owners: list[str] = []
        granted_fences = self._state.granted_fences
        for segment in self._state.present.segments:
            is_served = not segment.former and segment.fence in granted_fences
            owner = segment.owner if is_served else ""
            if owners and owners[-1] == owner:
                continue
            firsts.append(segment.first)
            owners.append(owner)
        return tuple(firsts), tuple(owners)
