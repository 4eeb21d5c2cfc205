"""Simulation of a fleet of instances whose targets reject most requests."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
import math
from random import Random
from typing import Final

from swiftpin.exceptions import RequestError
from swiftpin.model.bounds import Bounds
from swiftpin.router.call import Call
from swiftpin.router.fleet_size import FleetSize, member_count_to_announce
from swiftpin.router.retry_policy import RetryPolicy
from tests.router.calls import SERVICE, make_call

WINDOW: Final = 10.0
RATIO: Final = 0.2
SLACK: Final = 56.0
ATTEMPTS: Final = 3
WARM_UP: Final = 16.0
"""Seconds that instances run before the first request."""

HEARTBEAT_INTERVAL: Final = 0.2
"""Seconds between two heartbeats of the lease holder to its members."""

TAKEOVER_TIME: Final = 1.3
"""Seconds without a lease holder after one is lost."""

LINK_TIME: Final = 0.2
"""Seconds until a new lease holder has a link to an instance."""

BOUNDS: Final = Bounds(
    drain_limit=2.0,
    apply_limit=2.0,
    shutdown_grace=3.0,
    max_hold=10.0,
    retry_ratio=RATIO,
    retry_window=WINDOW,
    retry_slack=SLACK,
    stability_period=3.0,
)


@dataclass(kw_only=True)
class Load:
    """Request rate of callers and behaviour of targets."""

    rate: float
    """Requests per second of all instances together."""

    rejected_share: float = 0.9
    permit_wait_range: tuple[float, float] = (0.002, 0.03)
    """Minimum and maximum seconds that a retry waits for its permit."""


class Instance:
    """One process of the router, reduced to its retry policy."""

    def __init__(self) -> None:
        self.frozen_until = -math.inf
        self.fleet_size = FleetSize()
        self.policy = RetryPolicy(BOUNDS, self.fleet_size)


class RetryFleet:
    """Callers, instances by name, and the lease holder that announces their number."""

    def __init__(self, size: int, load: Load, seed: int) -> None:
        self.now = -WARM_UP
        self.random = Random(seed)
        self.load = load
        self.instances_by_name = {name: Instance() for name in range(size)}
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.served_retries = 0
        self._isolated: set[int] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = count()
        self._linked_since_by_pair: dict[tuple[Instance, Instance], float] = {}
        self._holder: Instance | None = None
        self._holder_lost_at = -math.inf
        self._announced_members = 0

    def schedule(self, when: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        heappush(self._events, (when, next(self._sequence_numbers), event))

    def run(self, until: float) -> None:
        """Run the simulation until a time, in seconds."""
        self.schedule(-WARM_UP, self._send_heartbeats)
        self.schedule(0.0, self._receive_request)
        while self._events and self._events[0][0] < until:
            self.now, _, event = heappop(self._events)
            event()

    def max_excess(self) -> float:
        """Return the excess of retries over the allowed number in the worst window."""
        return max(
            (self._count_retries(end) - self._max_retries(end) for end in self.retries),
            default=-SLACK,
        )

    def kill(self, share: float, downtime: float = 0.5) -> None:
        """Kill a share of the instances; they restart after `downtime` seconds."""
        names = sorted(self.instances_by_name)
        for name in self.random.sample(names, round(share * len(names))):
            del self.instances_by_name[name]
            self.schedule(self.now + downtime, partial(self.start, name))

    def start(self, name: int) -> None:
        """Start an instance."""
        self.instances_by_name[name] = Instance()

    def isolate(self, share: float, seconds: float) -> None:
        """Partition instances from the others and from the store, not from callers."""
        names = sorted(self.instances_by_name)
        isolated_names = self.random.sample(names, round(share * len(names)))
        self._isolated.update(isolated_names)
        self.schedule(
            self.now + seconds, lambda: self._isolated.difference_update(isolated_names)
        )

    def freeze(self, share: float, seconds: float) -> None:
        """Freeze a share of the processes; their events wait until they resume."""
        names = sorted(self.instances_by_name)
        for name in self.random.sample(names, round(share * len(names))):
            self.instances_by_name[name].frozen_until = self.now + seconds

    def reload(self, slack: float) -> None:
        """Reload the settings of all instances with another slack."""
        for instance in self.instances_by_name.values():
            instance.policy.set_bounds(replace(BOUNDS, retry_slack=slack))

    def _count_retries(self, end: float) -> int:
        """Return the number of retries in the window that ends at a time."""
        return bisect_right(self.retries, end) - bisect_left(self.retries, end - WINDOW)

    def _max_retries(self, end: float) -> float:
        """Return the number of retries allowed in the window that ends at a time."""
        requests = max(
            bisect_right(self.requests, end - offset)
            - bisect_left(self.requests, end - offset - WINDOW)
            for offset in (0.0, WINDOW / 2, WINDOW)
        )
        return RATIO * requests + SLACK

    def _receive_request(self) -> None:
        """Receive a request at a random instance and schedule the next one."""
        self.schedule(
            self.now + self.random.expovariate(self.load.rate), self._receive_request
        )
        self.requests.append(self.now)
        running = list(self.instances_by_name.values())
        if running:
            instance = self.random.choice(running)
            self._schedule_at_instance(
                instance, self.now, lambda: self._send_first(instance)
            )

    def _schedule_at_instance(
        self, instance: Instance, when: float, step: Callable[[], None]
    ) -> None:
        """Schedule a step at an instance, to be skipped if the instance has ended."""

        def run() -> None:
            if instance.frozen_until > self.now:
                self.schedule(instance.frozen_until, run)
            elif instance in self.instances_by_name.values():
                step()

        self.schedule(when, run)

    def _send_first(self, instance: Instance) -> None:
        """Send a request for the first time."""
        instance.policy.count_request(SERVICE, self.now)
        call = make_call(now=self.now, sends=0, attempts=ATTEMPTS)
        self._run_at_target(instance, call)

    def _run_at_target(self, instance: Instance, call: Call) -> None:
        """Let a target serve or reject a request, and schedule its retry if allowed."""
        call.sends += 1
        if self.random.random() >= self.load.rejected_share:
            self.served_retries += call.sends > 1
            instance.policy.release(call)
            return
        try:
            instance.policy.check_retry_allowed(call, self.now)
        except RequestError:
            instance.policy.release(call)
            return
        wait = self.random.uniform(*self.load.permit_wait_range)
        self._schedule_at_instance(
            instance, self.now + wait, lambda: self._send_again(instance, call)
        )

    def _send_again(self, instance: Instance, call: Call) -> None:
        """Send a retry."""
        instance.policy.record_send(call, self.now)
        self.retries.append(self.now)
        self._run_at_target(instance, call)

    def _send_heartbeats(self) -> None:
        """Send the member count from the lease holder to all linked instances."""
        self.schedule(self.now + HEARTBEAT_INTERVAL, self._send_heartbeats)
        self._choose_holder()
        holder = self._holder
        if holder is None:
            return
        linked = [other for other in self._reachable() if self._is_linked(other)]
        self._announced_members = member_count_to_announce(
            len(linked), self._announced_members
        )
        for instance in linked:
            received_at = self.now + self.random.uniform(0.0, HEARTBEAT_INTERVAL)
            receive = partial(
                self._receive_heartbeat, instance, self._announced_members
            )
            self._schedule_at_instance(instance, received_at, receive)

    def _receive_heartbeat(self, instance: Instance, members: int) -> None:
        """Receive a heartbeat of the lease holder at an instance."""
        instance.fleet_size.record_member_count(members, self.now)

    def _reachable(self) -> list[Instance]:
        """Return the instances that are not partitioned."""
        return [
            instance
            for name, instance in sorted(self.instances_by_name.items())
            if name not in self._isolated
        ]

    def _is_linked(self, instance: Instance) -> bool:
        """Return whether the lease holder has a link to a reachable instance."""
        assert self._holder is not None
        pair = (self._holder, instance)
        since = self._linked_since_by_pair.setdefault(pair, self.now)
        return instance is self._holder or self.now - since >= LINK_TIME

    def _choose_holder(self) -> None:
        """Keep the lease holder, or choose another one after the takeover time."""
        candidates = [it for it in self._reachable() if it.frozen_until <= self.now]
        if self._holder is not None and self._holder not in candidates:
            self._holder = None
            self._holder_lost_at = self.now
        if self._holder is None and candidates and self._is_lease_free():
            self._holder = candidates[0]
            self._announced_members = 0
            self._linked_since_by_pair.clear()

    def _is_lease_free(self) -> bool:
        """Return whether the lease of the last holder has expired."""
        return self.now - self._holder_lost_at >= TAKEOVER_TIME
