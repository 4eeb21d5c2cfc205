"""Tests of the leaving of an instance."""

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
from swiftpin.router.request_handler import RequestHandler

GRACE = 0.6
MARGIN = 0.1


class Leaving:
    """A planned stop, and notes of what it did."""

    def __init__(self, *, in_flight: int = 0, is_held: bool = False) -> None:
        self.steps: list[str] = []
        self.health = StoreHealth()
        self.lifecycle = Lifecycle()
        self.lease = SimpleNamespace(
            is_held=lambda now: is_held, async_give_up=self._async_give_up
        )
        handler = SimpleNamespace(
            in_flight=in_flight,
            refuse_new_requests=lambda: self._note("refuse new"),
            refuse_waiting_requests=lambda: self._note("refuse waiting"),
        )
        callers = SimpleNamespace(stop_listening=lambda: self._note("stop listening"))
        self.stop = PlannedStop(
            lifecycle=self.lifecycle,
            lease=cast(LeaseElection, self.lease),
            health=self.health,
            callers=cast(HttpListener, callers),
            handler=cast(RequestHandler, handler),
        )

    def _note(self, step: str) -> None:
        if step not in self.steps:
            self.steps.append(step)

    async def _async_give_up(self) -> None:
        self._note("give the lease up")


@pytest.fixture(autouse=True)
def short_times_fixture(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a stop take less than a second."""
    monkeypatch.setattr(planned_stop, "BALANCER_REMOVAL_TIME", 0.05)
    monkeypatch.setattr(planned_stop, "STOP_MARGIN", MARGIN)


async def test_duties_go_first_and_callers_last() -> None:
    """The lease goes at once; new requests are served until the balancer knows."""
    leaving = Leaving()
    await leaving.stop.async_run(GRACE)
    assert leaving.lifecycle.leaving
    assert leaving.steps == [
        "give the lease up",
        "stop listening",
        "refuse new",
        "refuse waiting",
    ]


async def test_grace_period_ends_the_wait_for_requests() -> None:
    """A request that a target keeps does not keep the process beyond its time."""
    leaving = Leaving(in_flight=1)
    began_at = asyncio.get_running_loop().time()
    await leaving.stop.async_run(GRACE)
    assert asyncio.get_running_loop().time() - began_at >= GRACE - MARGIN


async def test_lease_is_kept_until_the_end_while_the_store_is_away() -> None:
    """Symptom: all keys lost their owners while an instance was stopped.

    Sequence: the store was away and the lease was given up; nobody could take it over.
    Cause: a lease without holder ends the grants, one that is kept renews them.
    """
    leaving = Leaving(is_held=True)
    leaving.health.note_failure("no answer", 0.0)
    assert leaving.health.is_lost
    await leaving.stop.async_run(GRACE)
    assert leaving.steps[-1] == "give the lease up"
    assert leaving.steps[0] == "stop listening"
