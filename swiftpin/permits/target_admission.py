"""Demand on the keys of one target, and its requests that wait."""

from __future__ import annotations

from dataclasses import dataclass, field
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.key_demand import KeyDemand, fair_rate
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.retry_ledger import RetryLedger
from swiftpin.permits.target_slots import INITIAL_REQUEST_TIME

MIN_HOT_SHARE: Final = 0.5
"""Share of its owner's capacity that a key must demand to be limited. The keys of a
range that is hot as a whole wait for their move to other targets instead. A hot key
keeps this share beside them, which all hot keys of the target have together."""

MAX_EARLY_TURN: Final = 0.4
"""Seconds by which the requests for a hot key may run ahead of their rate, since they
arrive at random."""

TIME_WEIGHT: Final = 0.06
"""Weight of one observation in the mean time of a request, accurate to 18% if the
standard deviation of the times is their mean."""


@dataclass(kw_only=True, slots=True)
class TargetAdmission:
    """Capacity of one target, the demand on its keys and the waiting requests."""

    service: str
    slots: int = 1
    mean_time: float = INITIAL_REQUEST_TIME
    """Mean seconds that the target takes for a request."""

    times: int = 0
    """Number of requests that the mean includes."""

    demand: KeyDemand = field(default_factory=KeyDemand)
    retries: RetryLedger = field(default_factory=RetryLedger)
    outstanding: int = 0
    """Number of requests that wait or hold a permit."""

    turns_by_key: dict[int, float] = field(default_factory=dict)
    """Time of the next turn of each hot key."""

    waiting_by_key: dict[int, dict[tuple[str, int], PermitRequest]] = field(
        default_factory=dict
    )

    @property
    def capacity(self) -> float:
        """Return the requests per second that the target can serve."""
        return self.slots / self.mean_time

    @callback
    def limit_of(self, key: int) -> float:
        """Return the rate at which a key can be served, infinity if it is not hot."""
        rates_by_key = self.demand.rates_by_key
        min_rate = MIN_HOT_SHARE * self.capacity
        rate = rates_by_key.get(key, 0.0)
        if rate < min_rate:
            return math.inf
        hot = sum(1 for other in rates_by_key.values() if other >= min_rate)
        limit = max(fair_rate(rates_by_key.values(), self.capacity), min_rate / hot)
        return limit if rate > limit else math.inf

    @callback
    def count_hot_keys(self, now: float) -> int:
        """Return the number of keys that are limited."""
        self.demand.decay(now)
        keys = self.demand.rates_by_key
        return sum(not math.isinf(self.limit_of(key)) for key in keys)

    @callback
    def may_wait(
        self, key: int, request: PermitRequest, limit: float, now: float
    ) -> bool:
        """Return whether a request for a hot key can be in time, beside other keys.

        One may always wait, so that no slot idles until the next attempt.
        """
        slack = request.objective_at - now - self.mean_time
        waiting = len(self.waiting_by_key.get(key, ()))
        return waiting < max(int(limit * slack), 1)

    @callback
    def take_turn(self, key: int, limit: float, now: float) -> bool:
        """Take a turn of a hot key, if one is due or a slot would be idle.

        Without turns, requests in time for the hot key would always go before late
        ones for other keys, which would wait until their end.
        """
        turn_at = self.turns_by_key.get(key, now)
        if turn_at - now > MAX_EARLY_TURN and self.outstanding >= self.slots:
            return False
        self.turns_by_key[key] = max(turn_at, now) + 1 / limit
        return True

    @callback
    def first_late(self, key: int, now: float) -> PermitRequest | None:
        """Return a waiting request for a key that can't be in time, if there is one."""
        for request in self.waiting_by_key.get(key, {}).values():
            if now + self.mean_time > request.objective_at:
                return request
        return None

    @callback
    def prune(self, now: float) -> None:
        """Drop the state of keys that are no longer hot."""
        self.retries.prune(now)
        self.turns_by_key = {
            key: turn_at for key, turn_at in self.turns_by_key.items() if turn_at > now
        }

    @callback
    def record_time(self, seconds: float) -> None:
        """Record the time that the target took for a request."""
        self.times += 1
        weight = max(TIME_WEIGHT, 1 / self.times)
        self.mean_time += weight * (seconds - self.mean_time)

    @callback
    def forget_waiting(self, key: int, request_id: tuple[str, int]) -> None:
        """Forget a request that no longer waits."""
        waiting = self.waiting_by_key.get(key)
        if waiting is None:
            return
        waiting.pop(request_id, None)
        if not waiting:
            del self.waiting_by_key[key]
