"""What is asked for in a played load, of which targets, and what goes wrong."""

from __future__ import annotations

from dataclasses import dataclass
import math


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSort:
    """One sort of requests; times in seconds."""

    name: str
    service: str
    rate: float
    """Requests a second."""

    work: float
    """Mean time at a target of speed 1."""

    spread: float
    """Standard deviation of the work's logarithm."""

    tail: float = 0.0
    tail_factor: float = 1.0
    """Part of the requests that take so many times as long."""

    priority: int = 0
    objective: float
    deadline: float
    timeout: float = math.inf
    """Longest time for which one try is kept waiting."""

    worth: float = 1.0
    late_worth: float = 0.5
    retries: int = 1
    """How often a caller comes back after a rejection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SharedMachines:
    """Other work on the targets' machines, which slows some down for a while."""

    share: float
    """Part of the machines that are slow at a time."""

    factor: float
    seconds: float
    """How long a machine stays slow."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShape:
    """The targets of one service."""

    name: str
    speeds: tuple[float, ...]
    slots: int = 4
    waiting: int = 16
    """Requests that a target queues itself."""

    is_keyed: bool = False
    machines: SharedMachines | None = None
    cold_rate: float = math.inf
    """Requests a second that a cold target bears."""

    cold_factor: float = 2.0
    """How many times as long a cold target works."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdReturn:
    """Some targets of a service are gone for a while and come back cold.

    They come back as new ones, which own no keys.
    """

    at: float
    seconds: float
    service: str
    count: int
    cold_seconds: float = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HotKey:
    """One key, or some neighbours, get a share of the requests for a keyed service."""

    at: float
    seconds: float
    share: float
    service: str
    count: int = 1
    """Neighbouring keys that are asked for alike."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Burst:
    """All rates are multiplied."""

    at: float
    seconds: float
    factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SlowTargets:
    """Some targets of a service work several times as long."""

    at: float
    seconds: float
    service: str
    count: int
    factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SheddingTargets:
    """All targets of a service reject a share of what they get."""

    at: float
    seconds: float
    service: str
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingTargets:
    """Targets of a service leave, one after the other in the time given."""

    at: float
    seconds: float
    service: str
    count: int
    first: int = 0
    """Position of the first that leaves, among the service's targets."""

    are_replaced: bool = True
    """Whether another of the same speed comes as each begins to leave."""


Trouble = HotKey | Burst | SlowTargets | SheddingTargets | LeavingTargets | ColdReturn


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A load with its troubles."""

    name: str
    seconds: float
    sorts: tuple[RequestSort, ...]
    services: tuple[ServiceShape, ...]
    skew: float = 3.0
    """Power of a uniform draw that picks a key: the first of 4,000 keys gets 6% of the
    requests with 3, 0.4% with 1.5."""

    troubles: tuple[Trouble, ...] = ()
    judged_from: float = 4.0
    """Seconds from which on requests count; before, speeds are learnt."""
