"""Simulation of a fleet of instances whose targets name rate limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
import math
from random import Random
from typing import Final

from swiftpin.keyranges.lease_record import LeaseRecord
from swiftpin.permits.cold_targets import ALL_WARM, ColdTargets
from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_query import PermitQuery
from swiftpin.permits.rate_report import RateReport
from tests.permits.requester import make_target
from tests.router.limit_instance import SETTLE_TIME, Instance
from tests.router.limit_network import Network
from tests.router.limit_window import most_in_window
from tests.router.limited_target import Arrival, LimitedTarget

SERVICE: Final = "desk"
LEASE_TIME: Final = 1.6
LEASE_MARGIN: Final = 0.3
LEASE_INTERVAL: Final = 0.4
CHECK_INTERVAL: Final = 0.05
WARM_UP: Final = 6.0
"""Seconds that instances run before the first request."""

OBJECTIVE: Final = 0.5
DEADLINE: Final = 2.5
MAX_RETRIES: Final = 2
MAX_WAIT_SHARE: Final = 1 / 3
"""Share of its remaining time for which a rejected caller waits before a retry."""


@dataclass(kw_only=True)
class Load:
    """Behaviour of callers and targets."""

    rate: float
    """Requests per second for each target."""

    is_keyed: bool = True
    """Whether a request can be served by one target only."""

    entry_share: float = 1.0
    """Share of the instances at which callers arrive."""

    work: float = 0.12
    """Mean seconds that a target takes for a request."""

    connect_range: tuple[float, float] = (0.0005, 0.003)
    """Minimum and maximum seconds from a permit to the arrival of the request."""

    slots: int = 2
    cold: ColdTargets = ALL_WARM


class LimitFleet:
    """Callers, instances, targets, and the lease that one instance holds."""

    def __init__(self, size: int, targets: int, load: Load, seed: int) -> None:
        self.size = size
        self.seed = seed
        self.random = Random(seed)
        self.network = Network(self.random)
        self.load = load
        self.targets_by_name = {
            f"t{number}": LimitedTarget(name=f"t{number}") for number in range(targets)
        }
        self.instances_by_name: dict[str, Instance] = {}
        self.served_in_time = 0
        self.served_late = 0
        self.rejected = 0
        self.rejected_late = 0
        """Requests that were rejected after their deadline."""

        self.max_authorized = 0
        """Highest number of issuers that were authorized for one target at a time."""

        self._starts = count(1)
        self._term = 0
        self._holder: Instance | None = None
        self._lease_expires_at = 0.0
        self._events: list[tuple[float, Callable[[], None]]] = []

    def now(self) -> float:
        """Return the virtual time; callers begin at `WARM_UP`."""
        return asyncio.get_running_loop().time()

    def schedule(self, when: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        self._events.append((when, event))

    def name_limit(self, target: LimitedTarget, limit: float) -> None:
        """Let a target name a limit, infinite for none, from now on."""
        target.limits.append((self.now(), limit))

    async def async_run(self, until: float) -> None:
        """Run the fleet until a time, in seconds; callers begin at `WARM_UP`."""
        loop = asyncio.get_running_loop()
        for number in range(self.size):
            self.start(f"i{number}")
        fleet_tasks = [
            loop.create_task(self._async_renew_lease()),
            loop.create_task(self._async_count_authorized()),
        ]
        for when, event in self._events:
            loop.call_at(when, event)
        await asyncio.sleep(WARM_UP)
        caller_tasks = [
            loop.create_task(self._async_call(target))
            for target in self.targets_by_name.values()
        ]
        await asyncio.sleep(until - WARM_UP)
        for task in (*fleet_tasks, *caller_tasks):
            task.cancel()
        for instance in self.instances_by_name.values():
            instance.kill()
        await asyncio.sleep(0.0)

    # Troubles.

    def start(self, name: str) -> None:
        """Start an instance."""
        incarnation = f"{name}/{next(self._starts)}"
        instance = self.instances_by_name[name] = Instance(self, name, incarnation)
        self.set_targets(instance)
        instance.start()

    def set_targets(self, instance: Instance) -> None:
        """Pass the targets to an instance."""
        targets = [
            make_target(target, slots=self.load.slots)
            for target in self.targets_by_name
        ]
        instance.permits.set_targets(SERVICE, targets, [], self.load.cold)

    def kill(self, share: float, downtime: float = 0.5) -> None:
        """Kill a share of the instances; they restart after `downtime` seconds."""
        for name in self._sample(share):
            self.kill_instance(name, downtime)

    def kill_instance(self, name: str, downtime: float = 0.5) -> None:
        """Kill an instance; it restarts after `downtime` seconds."""
        instance = self.instances_by_name.pop(name, None)
        if instance is None:
            return
        instance.kill()
        asyncio.get_running_loop().call_later(downtime, self.start, name)

    def kill_holder(self) -> None:
        """Kill the lease holder."""
        if self._holder is not None:
            self.kill_instance(self._holder.name)

    def stop(self, name: str) -> None:
        """Stop an instance as planned; it ends after two seconds and restarts."""
        instance = self.instances_by_name.get(name)
        if instance is None:
            return
        instance.lifecycle.leaving = True
        asyncio.get_running_loop().call_later(2.0, self.kill_instance, name)

    def isolate(self, share: float, seconds: float) -> None:
        """Partition instances from others and the store, not from callers."""
        self._disturb(self.network.isolated, share, seconds)

    def separate(self, share: float, seconds: float) -> None:
        """Split the instances into two groups that don't reach each other."""
        self._disturb(self.network.separated, share, seconds)

    def freeze(self, share: float, seconds: float) -> None:
        """Freeze a share of the processes."""
        for name in self._disturb(self.network.frozen, share, seconds):
            instance = self.instances_by_name[name]
            instance.excused_until = self.now() + seconds + SETTLE_TIME

    def _disturb(self, names: set[str], share: float, seconds: float) -> list[str]:
        """Add a share of the instances to a set for some seconds, and return them."""
        sample = self._sample(share)
        names.update(sample)
        asyncio.get_running_loop().call_later(seconds, names.difference_update, sample)
        return sample

    def _sample(self, share: float) -> list[str]:
        """Return the names of a random share of the instances."""
        names = sorted(self.instances_by_name)
        return self.random.sample(names, min(math.ceil(share * self.size), len(names)))

    # Lease.

    async def _async_renew_lease(self) -> None:
        """Renew the holder's lease, or give it to another instance once it expired."""
        while True:
            self._renew_lease()
            await asyncio.sleep(LEASE_INTERVAL)

    async def _async_count_authorized(self) -> None:
        """Record how many issuers are authorized for the same target."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            for target in self.targets_by_name:
                subject = target if self.load.is_keyed else SERVICE
                authorized = sum(
                    not instance.is_frozen
                    and instance.permits.authority.time_until_authorized(
                        subject, self.now()
                    )
                    == 0
                    for instance in self.instances_by_name.values()
                )
                self.max_authorized = max(self.max_authorized, authorized)

    def _renew_lease(self) -> None:
        """Renew the lease if its holder reaches the store, else let another take it."""
        now = self.now()
        holder = self._holder
        if holder is not None and self._reaches_store(holder):
            holder.lease.valid_until = now + LEASE_TIME
            self._lease_expires_at = now + LEASE_TIME + LEASE_MARGIN
        elif now >= self._lease_expires_at:
            candidates = [
                instance
                for _, instance in sorted(self.instances_by_name.items())
                if self._reaches_store(instance) and not instance.lifecycle.leaving
            ]
            if not candidates:
                return
            self._term += 1
            self._holder = holder = self.random.choice(candidates)
            holder.lease.term = self._term
            holder.lease.valid_until = now + LEASE_TIME
            self._lease_expires_at = now + LEASE_TIME + LEASE_MARGIN
        if holder is None:
            return
        record = LeaseRecord(
            holder=holder.incarnation, peer=holder.name, term=self._term, renewal=0
        )
        for instance in self.instances_by_name.values():
            if self._reaches_store(instance):
                instance.known_leader.adopt_record(record)

    def _reaches_store(self, instance: Instance) -> bool:
        """Return whether a running instance can call the store."""
        return (
            self.instances_by_name.get(instance.name) is instance
            and instance.name not in self.network.isolated
            and not instance.is_frozen
        )

    # Callers.

    async def _async_call(self, target: LimitedTarget) -> None:
        """Send requests for a target's keys at random times."""
        while True:
            await asyncio.sleep(self.random.expovariate(self.load.rate))
            self._enter(target, self.now() + DEADLINE, MAX_RETRIES)

    def _enter(self, target: LimitedTarget, ends_at: float, retries: int) -> None:
        """Send a request to a random instance that callers know."""
        names = sorted(self.instances_by_name)
        entries = max(round(self.load.entry_share * self.size), 1)
        names = [
            name
            for name in names[:entries]
            if not self.instances_by_name[name].lifecycle.leaving
        ]
        if names:
            instance = self.instances_by_name[self.random.choice(names)]
            instance.run(self._async_serve(instance, target, ends_at, retries))

    async def _async_serve(
        self, instance: Instance, target: LimitedTarget, ends_at: float, retries: int
    ) -> None:
        """Serve one request at an instance."""
        await self.network.async_wait_thawed(instance.name)
        started_at = self.now()
        loop = asyncio.get_running_loop()
        query = PermitQuery(
            service=SERVICE,
            target=target.name if self.load.is_keyed else "",
            avoided="",
            priority=1,
            objective_at=loop.time() + OBJECTIVE,
            ends_at=loop.time() + ends_at - started_at,
        )
        result = await instance.permits.async_request_permit(query)
        await self.network.async_wait_thawed(instance.name)
        assert result is not None
        decision, permit = result
        if permit is None:
            self._reject(target, decision.retry_after, ends_at, retries)
            return
        await asyncio.sleep(self.random.uniform(*self.load.connect_range))
        await self.network.async_wait_thawed(instance.name)
        asked_at = self.now()
        if not instance.permits.is_valid(permit, asked_at):
            instance.permits.release(permit, 0.0, failed=False)
            self._reject(target, 0.1, ends_at, retries)
            return
        await self._async_work(instance, permit, asked_at)
        if self.now() <= ends_at:
            is_in_time = self.now() <= started_at + OBJECTIVE
            self.served_in_time += is_in_time
            self.served_late += not is_in_time

    async def _async_work(
        self, instance: Instance, permit: Permit, asked_at: float
    ) -> None:
        """Let a target work on a request, and handle its answer at the instance."""
        target = self.targets_by_name[permit.target]
        is_excused = self.now() < instance.excused_until
        target.arrivals.append(
            Arrival(at=self.now(), instance=instance, is_excused=is_excused)
        )
        seconds = self.random.gammavariate(4.0, self.load.work / 4.0)
        await asyncio.sleep(seconds)
        limit = target.limit_at(self.now())
        await asyncio.sleep(self.network.latency())
        await self.network.async_wait_thawed(instance.name)
        now = self.now()
        instance.permits.rate_reports.add(
            target.name,
            RateReport(limit=limit, sent_at=asked_at, received_at=now),
            now,
            source="answer",
        )
        instance.permits.release(permit, seconds, failed=False)
        if not math.isinf(limit):
            instance.told_at_by_target.setdefault(target.name, now)
            target.first_named_at = min(target.first_named_at, now)

    def _reject(
        self, target: LimitedTarget, retry_after: float, ends_at: float, retries: int
    ) -> None:
        """Count a rejection; its caller may try again."""
        now = self.now()
        self.rejected_late += now > ends_at
        wait = min(retry_after, max(ends_at - now, 0.0) * MAX_WAIT_SHARE)
        if not retries or now + wait >= ends_at:
            self.rejected += 1
            return
        asyncio.get_running_loop().call_later(
            wait, self._enter, target, ends_at, retries - 1
        )

    # Results.

    def worst_windows(self) -> list[tuple[float, int, float]]:
        """Return excess, requests and allowed requests of each target's worst window.

        Windows in which a target named no limit for a while are left out.
        """
        worst = [it.worst_window() for it in self.targets_by_name.values()]
        return [window for window in worst if window is not None]

    def max_excess(self) -> float:
        """Return the excess in the worst window of any target."""
        return max((excess for excess, _, _ in self.worst_windows()), default=-math.inf)

    def max_per_second(self) -> int:
        """Return the most requests that a target got within a second."""
        return max(
            most_in_window([it.at for it in target.arrivals], 0.0, window=1.0)
            for target in self.targets_by_name.values()
        )

    def used_share(self, start: float, end: float) -> float:
        """Return the used share of all targets' limits between two times."""
        requests = sum(
            start < arrival.at <= end
            for target in self.targets_by_name.values()
            for arrival in target.arrivals
        )
        limit = sum(it.limit_at(end) for it in self.targets_by_name.values())
        return requests / (limit * (end - start))
