"""Starts and deaths of targets, seen by their boot ids."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import TargetError
from swiftpin.gateway.target_name import TargetName
from swiftpin.targets.client import TargetClient
from swiftpin.targets.target_status import TargetStatus

LOOK_INTERVAL: Final = 0.2
LOOK_TIME: Final = 9.0
"""Seconds for which a target whose answer broke off may stay away until it counts as
dead; a little less than the quarantine remembers what was in flight there."""

TRACK_TIME: Final = 60.0
"""Seconds after its last request for which a target is still probed."""

ClientFactory = Callable[[TargetSpec], TargetClient]


@dataclass(kw_only=True, slots=True)
class _Life:
    """A target's present start, as far as it is known."""

    spec: TargetSpec
    used_at: float
    boot_id: str | None = None


class TargetLives:
    """Probes targets that get requests.

    A changed boot id is a death of the earlier start. `on_death` is called with the
    boot id that ended, `on_start` for each new one and for a target that is found
    cold, `on_probe` with whether a probe failed.
    """

    def __init__(self, make_client: ClientFactory) -> None:
        self.on_death: Callable[[TargetName, str], None] = _ignore_death
        self.on_start: Callable[[TargetName], None] = _ignore_start
        self.on_probe: Callable[[TargetName, bool], None] = _ignore_probe
        self._make_client = make_client
        self._lives_by_name: dict[TargetName, _Life] = {}
        self._looks_by_name: dict[TargetName, asyncio.Task[None]] = {}

    @callback
    def track(self, service: str, target: TargetSpec) -> None:
        """Note that a target gets a request."""
        name = TargetName(service, target.id)
        life = self._lives_by_name.get(name)
        if life is not None and life.spec is target:
            life.used_at = monotonic_now()
            return
        self._lives_by_name[name] = _Life(
            spec=target,
            used_at=monotonic_now(),
            boot_id=None if life is None else life.boot_id,
        )
        self.look(name)

    @callback
    def look(self, name: TargetName) -> None:
        """Find out soon whether a target still runs under its boot id."""
        if name in self._looks_by_name or name not in self._lives_by_name:
            return
        task = asyncio.create_task(self._async_look(name), name="target-look")
        self._looks_by_name[name] = task
        task.add_done_callback(lambda _: self._looks_by_name.pop(name, None))

    async def async_probe(self, now: float) -> None:
        """Probe each tracked target once, and forget those without requests."""
        for name, life in list(self._lives_by_name.items()):
            if now - life.used_at > TRACK_TIME:
                del self._lives_by_name[name]
        names = [
            name for name in self._lives_by_name if name not in self._looks_by_name
        ]
        await asyncio.gather(*(self._async_probe(name) for name in names))

    async def async_unload(self) -> None:
        """Stop looking."""
        looks = list(self._looks_by_name.values())
        for task in looks:
            task.cancel()
        await asyncio.gather(*looks, return_exceptions=True)

    async def _async_look(self, name: TargetName) -> None:
        """Probe until the target answers or counts as dead."""
        give_up_at = monotonic_now() + LOOK_TIME
        while not await self._async_probe(name):
            if monotonic_now() >= give_up_at:
                self._note_gone(name)
                return
            await asyncio.sleep(LOOK_INTERVAL)

    async def _async_probe(self, name: TargetName) -> bool:
        """Probe a target; return whether it answered."""
        life = self._lives_by_name.get(name)
        if life is None:
            return True
        try:
            status = await self._make_client(life.spec).async_status()
        except TargetError:
            self.on_probe(name, True)
            return False
        self._note_status(name, life, status)
        return True

    @callback
    def _note_status(self, name: TargetName, life: _Life, status: TargetStatus) -> None:
        """Take a probe's answer into account."""
        self.on_probe(name, False)
        if life.boot_id == status.boot_id:
            return
        ended, life.boot_id = life.boot_id, status.boot_id
        if ended is not None:
            self.on_death(name, ended)
        if ended is not None or status.cold:
            self.on_start(name)

    @callback
    def _note_gone(self, name: TargetName) -> None:
        """Count a target that stays away as dead."""
        life = self._lives_by_name.get(name)
        if life is not None and life.boot_id is not None:
            ended, life.boot_id = life.boot_id, None
            self.on_death(name, ended)


@callback
def _ignore_death(name: TargetName, boot_id: str) -> None:
    """Stand for nobody who wants to know."""


@callback
def _ignore_start(name: TargetName) -> None:
    """Stand for nobody who wants to know."""


@callback
def _ignore_probe(name: TargetName, failed: bool) -> None:
    """Stand for nobody who wants to know."""
