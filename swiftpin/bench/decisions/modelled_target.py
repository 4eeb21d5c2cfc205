"""A target that works on requests and holds keys."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from swiftpin.bench.decisions.event_queue import EventQueue
from swiftpin.bench.decisions.scenario import ServiceShape


class Answer(Enum):
    """What a target says to a request."""

    DONE = auto()
    FULL = auto()
    NOT_OWNED = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """A request at a target."""

    key: int | None
    seconds: float
    """Time that it takes at a target of speed 1."""

    reply: Callable[[Answer], None]


class ModelledTarget:
    """Runs as many requests as it has slots, queues some and rejects the rest."""

    def __init__(
        self, name: str, shape: ServiceShape, speed: float, clock: EventQueue
    ) -> None:
        self.name = name
        self.slots = shape.slots
        self.speed = speed
        self.slowness = 1.0
        self.shed_share = 0.0
        self.cold_until = 0.0
        self.cold_rate = shape.cold_rate
        self.came_cold: list[float] = []
        """When requests came while the target was cold."""

        self.owns: Callable[[int], bool] = _any_key
        self._shape = shape
        self._clock = clock
        self._running: list[Work] = []
        self._waiting: deque[Work] = deque()
        self._releases: list[tuple[range, Callable[[], None]]] = []
        self._rng = Random(name)

    def take(self, work: Work) -> None:
        """Run, queue or reject a request."""
        if self._clock.now < self.cold_until:
            self.came_cold.append(self._clock.now)
        if work.key is not None and not self.owns(work.key):
            work.reply(Answer.NOT_OWNED)
        elif self._rng.random() < self.shed_share:
            work.reply(Answer.FULL)
        elif len(self._running) < self.slots:
            self._run(work)
        elif len(self._waiting) < self._shape.waiting:
            self._waiting.append(work)
        else:
            work.reply(Answer.FULL)

    def release(self, keys: range, done: Callable[[], None]) -> None:
        """Call back when the work on some keys has ended; it begins none any more."""
        kept = deque(work for work in self._waiting if work.key not in keys)
        for work in self._waiting:
            if work.key in keys:
                work.reply(Answer.NOT_OWNED)
        self._waiting = kept
        self._releases.append((keys, done))
        self._check_releases()

    def work_factor(self) -> float:
        """Return how many times as long work takes on the target's machine now."""
        machines = self._shape.machines
        if machines is None:
            return 1.0
        period = int(self._clock.now / machines.seconds)
        is_slow = Random(f"{self.name}/{period}").random() < machines.share
        return machines.factor if is_slow else 1.0

    def _run(self, work: Work) -> None:
        """Begin a request."""
        self._running.append(work)
        seconds = work.seconds * self.slowness * self.work_factor() / self.speed
        if self._clock.now < self.cold_until:
            seconds *= self._shape.cold_factor
        self._clock.after(seconds, lambda: self._finish(work))

    def _finish(self, work: Work) -> None:
        """End a request and begin the next one."""
        self._running.remove(work)
        work.reply(Answer.DONE)
        self._check_releases()
        if self._waiting:
            self._run(self._waiting.popleft())

    def _check_releases(self) -> None:
        """Answer releases whose work has ended."""
        open_releases = []
        for keys, done in self._releases:
            if any(work.key in keys for work in self._running):
                open_releases.append((keys, done))
            else:
                done()
        self._releases = open_releases


def _any_key(key: int) -> bool:
    """Return True."""
    return True
