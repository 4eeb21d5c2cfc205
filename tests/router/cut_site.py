"""A fleet whose instances can be cut off from the targets, with callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import math
from random import Random
from typing import Any, Final

from aiohttp import ClientError
import pytest

from swiftpin.router.app import Router
from tests.router.cut_links import CutKind, LinkCuts
from tests.router.site import Site

PATHS: Final = (("/read/", "GET"), ("/read/", "GET"), ("/book/", "POST"))
"""Paths and methods of keyed requests."""

UNKEYED_SHARE: Final = 0.2
"""Share of the requests that go to the service without keys."""

DEADLINE: Final = 2.0


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """First attempt of a request; times are on the event loop's clock."""

    instance: str
    sent_at: float
    seconds: float
    is_served: bool
    request_id: str = ""
    status: int = 0


@dataclass(kw_only=True)
class Cut:
    """A period in which some instances are cut off."""

    began_at: float
    instances: frozenset[str]
    ended_at: float = math.inf


@dataclass(kw_only=True)
class CutOptions:
    """Size of a fleet and its load."""

    instances: int = 3
    targets: int = 6
    rate: float = 60.0
    """Requests per second of all callers."""

    seed: int = 0


class CutSite(Site):
    """A site with links that can be cut; `async_play` sends callers' requests."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, options: CutOptions) -> None:
        super().__init__(monkeypatch)
        self.cuts = LinkCuts()
        self.options = options
        self.random = Random(options.seed)
        self.attempts: list[Attempt] = []
        self.cut_periods: list[Cut] = []
        self.once_only_ids: set[str] = set()
        self._monkeypatch = monkeypatch
        self._calls: set[asyncio.Task[None]] = set()

    async def async_setup_fleet(self) -> None:
        """Start the fleet of the options."""
        await self.async_setup(self.options.targets, self.options.instances)
        await self.async_add_target("v1", "vault")
        self.earn_retry_credit()

    def prepare(self, name: str, router: Router) -> None:
        """Let the links of an instance to the targets be cut."""
        for client in (router._clients.targets, router._clients.control):
            self.cuts.install(self._monkeypatch, name, client)

    async def async_play(self, seconds: float) -> None:
        """Send callers' requests at random times."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.random.expovariate(self.options.rate))
            task = asyncio.create_task(self._async_attempt())
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def async_settle(self) -> None:
        """Wait until all requests have been answered."""
        await asyncio.gather(*self._calls)

    async def async_cut(
        self,
        share: float,
        kind: CutKind,
        seconds: float,
        *,
        with_holder: bool | None = None,
        targets_share: float = 1.0,
    ) -> Cut:
        """Cut a share of the instances off while callers go on; return the period."""
        names = self.choose_instances(share, with_holder=with_holder)
        addresses = None
        if targets_share < 1.0:
            targets = sorted(self.targets_by_name)
            count = math.ceil(targets_share * len(targets))
            chosen = self.random.sample(targets, count)
            addresses = frozenset(self.targets_by_name[it].address for it in chosen)
        loop = asyncio.get_running_loop()
        cut = Cut(began_at=loop.time(), instances=frozenset(names))
        self.cut_periods.append(cut)
        for name in names:
            self.cuts.cut(name, kind, addresses)
        await self.async_play(seconds)
        for name in names:
            self.cuts.heal(name)
        cut.ended_at = loop.time()
        return cut

    def choose_instances(self, share: float, *, with_holder: bool | None) -> list[str]:
        """Return a random share of the instances, with or without the lease holder."""
        names = sorted(self.routers_by_name)
        count = max(round(share * len(names)), 1)
        self.random.shuffle(names)
        if with_holder is not None:
            holder = self.leader()
            names.sort(key=lambda name: (name == holder) != with_holder)
        return names[:count]

    def served_share(
        self, start: float, end: float, names: frozenset[str] | None = None
    ) -> float:
        """Return the share of first attempts that were served, 1 without attempts."""
        attempts = [
            attempt
            for attempt in self.attempts
            if start <= attempt.sent_at < end
            and (names is None or attempt.instance in names)
        ]
        served = sum(attempt.is_served for attempt in attempts)
        return served / len(attempts) if attempts else 1.0

    def others(self, cut: Cut) -> frozenset[str]:
        """Return the instances that are not cut off."""
        return frozenset(self.routers_by_name) - cut.instances

    def first_served_after(self, cut: Cut) -> float:
        """Return the seconds from a cut until a cut instance served a new request."""
        return min(
            (
                attempt.sent_at + attempt.seconds - cut.began_at
                for attempt in self.attempts
                if attempt.instance in cut.instances
                and attempt.sent_at > cut.began_at
                and attempt.is_served
            ),
            default=math.inf,
        )

    def repeated_once_only(self) -> list[str]:
        """Return the requests that must not run twice and did."""
        runs = [run for target in self.targets_by_name.values() for run in target.runs]
        counts: dict[str, int] = {}
        for run in runs:
            counts[run] = counts.get(run, 0) + 1
        return [
            request_id
            for request_id in self.once_only_ids
            if counts.get(request_id, 0) > 1
        ]

    def untrue_rejections(self) -> list[str]:
        """Return the requests that ran although the answer says that they did not."""
        runs = {run for target in self.targets_by_name.values() for run in target.runs}
        return [
            attempt.request_id
            for attempt in self.attempts
            if attempt.status in (429, 503)
            and attempt.request_id in runs
            and attempt.request_id in self.once_only_ids
        ]

    async def _async_attempt(self) -> None:
        """Send one request to a random instance."""
        loop = asyncio.get_running_loop()
        name = self.random.choice(sorted(self.routers_by_name))
        arguments: dict[str, Any]
        if self.random.random() < UNKEYED_SHARE:
            arguments = {"path": "/files/x", "key": None}
        else:
            path, method = self.random.choice(PATHS)
            key = self.random.randrange(65536)
            arguments = {"path": f"{path}{key}", "key": key, "method": method}
        sent_at = loop.time()
        status, request_id = 0, ""
        try:
            async with asyncio.timeout(DEADLINE + 1.0):
                reply = await self.async_call(
                    via=name, deadline=round(DEADLINE * 1000), **arguments
                )
            status, request_id = reply.status, reply.headers["id"]
        except (ClientError, TimeoutError):
            status = 0
        if arguments.get("method") == "POST":
            self.once_only_ids.add(request_id)
        self.attempts.append(
            Attempt(
                instance=name,
                sent_at=sent_at,
                seconds=loop.time() - sent_at,
                is_served=status == 200,
                request_id=request_id,
                status=status,
            )
        )
