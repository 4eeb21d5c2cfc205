"""Tests of the sharing of the processor among connections."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from typing import Final

from swiftpin.gateway.input_turns import TURN_TIME, InputTurns

TIMEOUT: Final = 5.0


class FakeClock:
    """A clock that only parsing advances."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the present time in seconds."""
        return self.now


class FakeInput:
    """A connection whose input takes some time to parse."""

    def __init__(
        self,
        name: str,
        clock: FakeClock,
        parsed: list[str],
        *,
        cost: float,
        light: bool,
    ) -> None:
        self.is_held = False
        self._name = name
        self._clock = clock
        self._parsed = parsed
        self._cost = cost
        self._is_light = light

    @property
    def is_light(self) -> bool:
        """Return whether the connection has precedence."""
        return self._is_light

    def hold(self) -> None:
        """Note that nothing more is read."""
        self.is_held = True

    def parse(self) -> None:
        """Take the time that the input takes."""
        self.is_held = False
        self._clock.now += self._cost
        self._parsed.append(self._name)


async def test_input_of_one_turn_is_bounded_in_time() -> None:
    """Guards against an event loop that parses the input of a crowd in one turn."""
    clock, parsed = FakeClock(), list[str]()
    turns = InputTurns(clock)
    crowd = [
        FakeInput(str(number), clock, parsed, cost=TURN_TIME, light=True)
        for number in range(5)
    ]
    for connection in crowd:
        turns.submit(connection)
    assert parsed == ["0"]
    assert [it.is_held for it in crowd] == [False, True, True, True, True]
    await asyncio.sleep(0)
    assert parsed == ["0", "1"]
    for _ in range(3):
        await asyncio.sleep(0)
    assert parsed == ["0", "1", "2", "3", "4"]


async def test_little_input_precedes_much() -> None:
    """Guards against ordinary requests that wait for bodies without end."""
    clock, parsed = FakeClock(), list[str]()
    turns = InputTurns(clock)
    for number in range(3):
        heavy = FakeInput(f"heavy{number}", clock, parsed, cost=TURN_TIME, light=False)
        turns.submit(heavy)
    turns.submit(FakeInput("light", clock, parsed, cost=0.0, light=True))
    assert parsed == ["light"]
    await asyncio.sleep(0)
    assert parsed == ["light", "heavy0"]


async def test_much_input_has_its_turn() -> None:
    """Guards against a long body that never gets a turn beside many requests."""
    clock, parsed = FakeClock(), list[str]()
    turns = InputTurns(clock)
    turns.submit(FakeInput("heavy", clock, parsed, cost=TURN_TIME, light=False))
    for number in range(4):
        light = FakeInput(f"light{number}", clock, parsed, cost=TURN_TIME, light=True)
        turns.submit(light)
    await asyncio.sleep(0)
    assert "heavy" in parsed


async def test_one_queued_request_is_handled_in_each_turn() -> None:
    """Guards against connections whose queued requests take all of a turn."""
    turns = InputTurns(FakeClock())
    handled: list[str] = []

    async def async_handle(name: str) -> None:
        await turns.async_wait_queued()
        handled.append(name)

    tasks = [asyncio.create_task(async_handle(str(number))) for number in range(4)]
    await asyncio.sleep(0)
    counts = []
    while len(handled) < len(tasks):
        await asyncio.sleep(0)
        counts.append(len(handled))
    assert handled == ["0", "1", "2", "3"]
    assert all(later - before <= 1 for before, later in pairwise([0, *counts]))


async def test_ended_connection_does_not_keep_queued_requests() -> None:
    """Guards against queued requests that wait for one whose connection has ended."""
    turns = InputTurns(FakeClock())
    ended = asyncio.create_task(turns.async_wait_queued())
    next_one = asyncio.create_task(turns.async_wait_queued())
    await asyncio.sleep(0)
    ended.cancel()
    async with asyncio.timeout(TIMEOUT):
        await next_one
    assert ended.cancelled()
