"""Playing of a load."""

from __future__ import annotations

from collections import defaultdict
from random import Random
from typing import Final

from swiftpin.bench.decisions.event_queue import EventQueue
from swiftpin.bench.decisions.modelled_router import ModelledRouter, Try
from swiftpin.bench.decisions.outcome import Fate, Summary, summarize
from swiftpin.bench.decisions.scenario import (
    Burst,
    ColdReturn,
    HotKey,
    LeavingTargets,
    RequestSort,
    Scenario,
    SheddingTargets,
    SlowTargets,
    Trouble,
)
from swiftpin.keyranges.const import KEY_COUNT

CALLER_TIME: Final = 0.003
"""Seconds from a caller to an instance, and back."""

PATIENCE: Final = 1 / 3
"""Part of the time left for which a caller waits at most before it comes back."""

BUSY_KEYS: Final = 4000
"""Keys that are asked for, the first far more often than the last."""


class Play:
    """One load on one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = Random(f"{scenario.name}/{seed}")
        self._clock = EventQueue()
        self._routers_by_service = {
            shape.name: ModelledRouter(shape, self._clock)
            for shape in scenario.services
        }
        self._keys = [self._rng.randrange(KEY_COUNT) for _ in range(BUSY_KEYS)]
        hot = [trouble for trouble in scenario.troubles if isinstance(trouble, HotKey)]
        # One is drawn also for a load without hot keys, whose requests would else be
        # others than those that recorded seeds stand for.
        drawn = [self._rng.randrange(KEY_COUNT) for _ in range(max(len(hot), 1))]
        self._first_keys_by_trouble = {
            trouble: min(key, KEY_COUNT - trouble.count)
            for trouble, key in zip(hot, drawn, strict=False)
        }
        self._hot_by_service: dict[str, list[HotKey]] = defaultdict(list)
        self._factor = 1.0
        self._fates: list[Fate] = []

    def run(self) -> Summary:
        """Play to the end."""
        for sort in self._scenario.sorts:
            self._arrive_later(sort)
        for trouble in self._scenario.troubles:
            self._clock.after(trouble.at, lambda t=trouble: self._begin(t))  # type: ignore[misc]
            end = trouble.at + trouble.seconds
            self._clock.after(end, lambda t=trouble: self._end(t))  # type: ignore[misc]
        self._clock.run(self._scenario.seconds)
        judged = [
            fate
            for fate in self._fates
            if self._scenario.judged_from <= fate.came_at
            and fate.came_at <= self._scenario.seconds - fate.sort.deadline
        ]
        owners = [
            router.owners
            for router in self._routers_by_service.values()
            if router.owners is not None
        ]
        return summarize(
            judged,
            self._most_at_cold_targets(),
            sum(owner.moves for owner in owners),
            sum(owner.moved_keys for owner in owners) / KEY_COUNT,
        )

    def _most_at_cold_targets(self) -> int:
        """Return the most requests that a cold target got within a second."""
        return max(
            (
                sum(began <= at < began + 1 for at in target.came_cold)
                for router in self._routers_by_service.values()
                for target in router.targets_by_name.values()
                for began in target.came_cold
            ),
            default=0,
        )

    def _arrive_later(self, sort: RequestSort) -> None:
        """Plan the next request of a sort."""
        gap = self._rng.expovariate(sort.rate * self._factor)
        self._clock.after(gap, lambda: self._arrive(sort))

    def _arrive(self, sort: RequestSort) -> None:
        """Let a request come."""
        self._arrive_later(sort)
        fate = Fate(sort=sort, came_at=self._clock.now)
        self._fates.append(fate)
        self._try(fate, self._key(sort), self._work(sort), 0)

    def _key(self, sort: RequestSort) -> int:
        """Return the key of a request."""
        drawn = self._rng.random()
        for trouble in self._hot_by_service[sort.service]:
            if drawn < trouble.share:
                first = self._first_keys_by_trouble[trouble]
                return first + int(trouble.count * drawn / trouble.share)
            drawn -= trouble.share
        return self._keys[int(BUSY_KEYS * self._rng.random() ** self._scenario.skew)]

    def _work(self, sort: RequestSort) -> float:
        """Return the time that a request takes at a target of speed 1."""
        tail = sort.tail_factor if self._rng.random() < sort.tail else 1.0
        shift = sort.spread**2 / 2
        return sort.work * tail * self._rng.lognormvariate(-shift, sort.spread)

    def _try(self, fate: Fate, key: int, work: float, number: int) -> None:
        """Send one try to the instances."""
        sort = fate.sort
        now = self._clock.now
        ends_at = fate.came_at + sort.deadline

        def served() -> None:
            fate.served_at = self._clock.now + CALLER_TIME

        def rejected(retry_after: float) -> None:
            fate.rejections += 1
            fate.waits.append(self._clock.now - now)
            left = ends_at - self._clock.now - 2 * CALLER_TIME
            if number < sort.retries and left > 0:
                wait = min(retry_after, left * PATIENCE) + 2 * CALLER_TIME
                self._clock.after(wait, lambda: self._try(fate, key, work, number + 1))

        attempt = Try(
            sort=sort,
            key=key,
            work=work,
            came_at=now + CALLER_TIME,
            ends_at=min(ends_at, now + sort.timeout) - CALLER_TIME,
            on_served=served,
            on_rejected=rejected,
        )
        router = self._routers_by_service[sort.service]
        self._clock.after(CALLER_TIME, lambda: router.take(attempt))

    def _begin(self, trouble: Trouble) -> None:
        """Let a trouble begin."""
        self._set(trouble, is_on=True)

    def _end(self, trouble: Trouble) -> None:
        """Let a trouble end."""
        self._set(trouble, is_on=False)

    def _set(self, trouble: Trouble, *, is_on: bool) -> None:
        """Put a trouble in force or take it back."""
        match trouble:
            case HotKey():
                hot = self._hot_by_service[trouble.service]
                if is_on:
                    hot.append(trouble)
                else:
                    hot.remove(trouble)
            case Burst():
                self._factor = trouble.factor if is_on else 1.0
            case SlowTargets():
                targets = self._routers_by_service[trouble.service].targets_by_name
                for target in list(targets.values())[: trouble.count]:
                    target.slowness = trouble.factor if is_on else 1.0
            case SheddingTargets():
                targets = self._routers_by_service[trouble.service].targets_by_name
                for target in targets.values():
                    target.shed_share = trouble.share if is_on else 0.0
            case LeavingTargets():
                if is_on:
                    self._leave_one(trouble, 0)
            case ColdReturn():
                router = self._routers_by_service[trouble.service]
                for number in range(trouble.count):
                    if is_on:
                        router.let_leave(number, is_replaced=False)
                    else:
                        router.begin_cold(number, trouble.cold_seconds)

    def _leave_one(self, trouble: LeavingTargets, number: int) -> None:
        """Let a target leave, and the next ones later."""
        if number == trouble.count:
            return
        router = self._routers_by_service[trouble.service]
        router.let_leave(trouble.first + number, is_replaced=trouble.are_replaced)
        gap = trouble.seconds / trouble.count
        self._clock.after(gap, lambda: self._leave_one(trouble, number + 1))


def play(scenario: Scenario, seed: int) -> Summary:
    """Return what callers got of a load on a seed."""
    return Play(scenario, seed).run()
