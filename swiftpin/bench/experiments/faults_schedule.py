"""Random schedules of faults that follow from a seed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from swiftpin.bench.experiments.faults_episode import (
    CrashRequest,
    CutAnswers,
    DropAnswers,
    DropRequests,
    FaultEpisode,
    FreezeProcess,
    KillProcess,
    LoseStoreAnswers,
    StoreHang,
    StoreOutage,
)
from swiftpin.bench.experiments.faults_scheduled import ScheduledEpisode

FIRST_AT: Final = 2.0
SHORTEST_GAP: Final = 0.4
LONGEST_GAP: Final = 1.6
PAIR_SHARE: Final = 0.35
"""Share of the times at which two episodes begin together."""
RESTART: Final = (0.5, 3.0)
RESTART_MARGIN: Final = 2.0
"""Seconds that a started process is left alone."""
FREEZE: Final = (1.0, 5.0)
OUTAGE: Final = (3.0, 6.0)
HANG: Final = (1.0, 4.0)
LOSS: Final = (1.0, 3.0)
LOSS_SHARE: Final = (0.2, 1.0)
MOST_DROPPED: Final = 8
MOST_GATEWAYS_DOWN: Final = 3
MOST_TARGETS_DOWN: Final = 6
NAME_STORE: Final = "store"


class FaultsSchedule:
    """Chooses episodes one after another and remembers what is down until when."""

    def __init__(
        self,
        seed: int,
        *,
        gateways: Iterable[str],
        targets: Iterable[str],
        desk: str,
    ) -> None:
        self._random = Random(f"faults {seed}")
        self._gateways = tuple(gateways)
        self._targets = tuple(targets)
        self._desk = desk
        self._busy_until_by_name: dict[str, float] = {}
        self._crashes = 0
        self._weights_by_choice: dict[Callable[[float], FaultEpisode | None], float] = {
            self._kill_gateway: 2.0,
            self._kill_target: 2.0,
            self._freeze_gateway: 2.0,
            self._freeze_target: 2.0,
            self._store_outage: 1.0,
            self._store_hang: 1.0,
            self._lose_store_answers: 1.0,
            self._drop_requests: 1.0,
            self._drop_answers: 1.5,
            self._cut_answers: 1.0,
            self._crash_request: 0.7,
        }

    def episodes(self, duration: float) -> tuple[ScheduledEpisode, ...]:
        """Return the episodes that begin within `duration` seconds."""
        chosen: list[ScheduledEpisode] = []
        at = FIRST_AT
        while at < duration:
            pair = self._random.random() < PAIR_SHARE
            for _ in range(2 if pair else 1):
                episode = self._choose(at)
                if episode is not None:
                    chosen.append(ScheduledEpisode(at=at, episode=episode))
            at += self._random.uniform(SHORTEST_GAP, LONGEST_GAP)
        return tuple(chosen)

    def _choose(self, at: float) -> FaultEpisode | None:
        """Return an episode, None if what was drawn cannot happen now."""
        choices = tuple(self._weights_by_choice)
        weights = tuple(self._weights_by_choice.values())
        return self._random.choices(choices, weights)[0](at)

    def _kill_gateway(self, at: float) -> KillProcess | None:
        """Return the kill of a gateway."""
        return self._kill(self._gateways, MOST_GATEWAYS_DOWN, at)

    def _kill_target(self, at: float) -> KillProcess | None:
        """Return the kill of a target."""
        return self._kill(self._targets, MOST_TARGETS_DOWN, at)

    def _freeze_gateway(self, at: float) -> FreezeProcess | None:
        """Return the freeze of a gateway."""
        return self._freeze(self._gateways, MOST_GATEWAYS_DOWN, at)

    def _freeze_target(self, at: float) -> FreezeProcess | None:
        """Return the freeze of a target."""
        return self._freeze(self._targets, MOST_TARGETS_DOWN, at)

    def _kill(self, names: tuple[str, ...], most: int, at: float) -> KillProcess | None:
        """Return the kill of one of the processes."""
        length = self._random.uniform(*RESTART)
        name = self._take(names, most, at, length + RESTART_MARGIN)
        if name is None:
            return None
        return KillProcess(name=name, restart_after=length)

    def _freeze(
        self, names: tuple[str, ...], most: int, at: float
    ) -> FreezeProcess | None:
        """Return the freeze of one of the processes."""
        length = self._random.uniform(*FREEZE)
        name = self._take(names, most, at, length)
        return None if name is None else FreezeProcess(name=name, length=length)

    def _store_outage(self, at: float) -> StoreOutage | None:
        """Return an outage of the store."""
        length = self._random.uniform(*OUTAGE)
        return StoreOutage(length=length) if self._take_store(at, length) else None

    def _store_hang(self, at: float) -> StoreHang | None:
        """Return a hang of the store."""
        length = self._random.uniform(*HANG)
        return StoreHang(length=length) if self._take_store(at, length) else None

    def _lose_store_answers(self, at: float) -> LoseStoreAnswers | None:
        """Return a loss of answers of the store."""
        length = self._random.uniform(*LOSS)
        share = self._random.uniform(*LOSS_SHARE)
        if not self._take_store(at, length):
            return None
        return LoseStoreAnswers(length=length, share=share)

    def _drop_requests(self, at: float) -> DropRequests | None:
        """Return requests that do not reach a target."""
        count = self._random.randint(1, MOST_DROPPED)
        target = self._take(self._targets, MOST_TARGETS_DOWN, at, 0.0)
        return None if target is None else DropRequests(target=target, count=count)

    def _drop_answers(self, at: float) -> DropAnswers | None:
        """Return answers that do not leave a target."""
        count = self._random.randint(1, MOST_DROPPED)
        target = self._take(self._targets, MOST_TARGETS_DOWN, at, 0.0)
        return None if target is None else DropAnswers(target=target, count=count)

    def _cut_answers(self, at: float) -> CutAnswers | None:
        """Return answers that break off."""
        count = self._random.randint(1, MOST_DROPPED)
        target = self._take(self._targets, MOST_TARGETS_DOWN, at, 0.0)
        return None if target is None else CutAnswers(target=target, count=count)

    def _crash_request(self, _at: float) -> CrashRequest:
        """Return a request that crashes targets."""
        self._crashes += 1
        return CrashRequest(
            service=self._desk,
            is_booking=self._random.random() < 0.5,
            number=self._crashes,
        )

    def _take(
        self, names: tuple[str, ...], most: int, at: float, length: float
    ) -> str | None:
        """Return a process that is up, and note that it is down for `length`.

        None while as many of them are down as may be.
        """
        up = [name for name in names if self._busy_until_by_name.get(name, 0.0) <= at]
        if len(names) - len(up) >= most:
            return None
        name = self._random.choice(up)
        self._busy_until_by_name[name] = at + length
        return name

    def _take_store(self, at: float, length: float) -> bool:
        """Return whether the store is sound, and note that it is not for `length`."""
        return self._take((NAME_STORE,), 1, at, length) is not None
