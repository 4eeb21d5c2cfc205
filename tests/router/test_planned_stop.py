"""Tests of the graceful shutdown of an instance."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.gateway.http_listener import HttpListener
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.router import planned_stop
from swiftpin.router.planned_stop import PlannedStop
from swiftpin.router.relay_handler import RelayHandler
from swiftpin.router.request_handler import RequestHandler
from swiftpin.router.send_cutoff import SendCutoff

GRACE = 0.6
MARGIN = 0.1


class StoppingInstance:
    """A planned stop with fakes that record its steps."""

    def __init__(self, *, in_flight: int = 0, is_held: bool = False) -> None:
        self.steps: list[str] = []
        self.health = StoreHealth()
        self.lifecycle = Lifecycle()
        self.lease = SimpleNamespace(
            is_held=lambda now: is_held, async_give_up=self._async_give_up
        )
        handler = SimpleNamespace(
            in_flight=in_flight,
            refuse_new_requests=lambda: self._record("refuse new"),
            refuse_long_requests=lambda: self._record("refuse long"),
            refuse_waiting_requests=lambda: self._record("refuse waiting"),
            interrupt_requests=lambda: self._record("interrupt"),
        )
        relayed = SimpleNamespace(in_flight=0, refuse_long_requests=lambda: None)
        callers = SimpleNamespace(stop_listening=lambda: self._record("stop listening"))
        self.stop = PlannedStop(
            lifecycle=self.lifecycle,
            lease=cast(LeaseElection, self.lease),
            health=self.health,
            callers=cast(HttpListener, callers),
            handler=cast(RequestHandler, handler),
            relayed=cast(RelayHandler, relayed),
            cutoff=SendCutoff(),
        )

    def _record(self, step: str) -> None:
        if step not in self.steps:
            self.steps.append(step)

    async def _async_give_up(self) -> None:
        self._record("release the lease")


@pytest.fixture(autouse=True)
def short_times_fixture(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the delays so that a stop takes less than a second."""
    monkeypatch.setattr(planned_stop, "BALANCER_REMOVAL_TIME", 0.05)
    monkeypatch.setattr(planned_stop, "STOP_MARGIN", MARGIN)


async def test_lease_is_released_first_and_callers_are_refused_last() -> None:
    """New requests are served until the load balancer has removed the instance."""
    instance = StoppingInstance()
    await instance.stop.async_run(GRACE)
    assert instance.lifecycle.leaving
    assert instance.steps == [
        "release the lease",
        "stop listening",
        "refuse new",
        "refuse long",
        "refuse waiting",
        "interrupt",
    ]


async def test_grace_period_limits_the_wait_for_requests() -> None:
    """An unfinished request does not delay the exit beyond the grace period."""
    instance = StoppingInstance(in_flight=1)
    started_at = asyncio.get_running_loop().time()
    await instance.stop.async_run(GRACE)
    assert asyncio.get_running_loop().time() - started_at >= GRACE - MARGIN


async def test_lease_is_kept_until_the_end_while_the_store_is_lost() -> None:
    """Guards against keys that lose their owners when the holder stops in an outage.

    Nobody can take over a lease released while the store is lost, so the grants expire.
    A lease that is kept renews them.
    """
    instance = StoppingInstance(is_held=True)
    instance.health.record_failure("no answer", 0.0)
    assert instance.health.is_lost
    await instance.stop.async_run(GRACE)
    assert instance.steps[-1] == "release the lease"
    assert instance.steps[0] == "stop listening"
