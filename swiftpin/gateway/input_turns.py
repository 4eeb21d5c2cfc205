"""Sharing of the processor among connections whose clients have sent something."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
import time
from typing import Final, Protocol

from swiftpin.core import callback

READ_SIZE: Final = 8 * 1024
"""Bytes that are read from a connection at a time."""

TURN_TIME: Final = 0.002
"""Seconds of each turn of the event loop in which input is parsed."""

LIGHT_INPUT: Final = 32 * 1024
"""Bytes since the head of its last request up to which a connection has precedence."""


class Input(Protocol):
    """Input of one connection."""

    @property
    def is_light(self) -> bool:
        """Return whether the connection has precedence."""

    def hold(self) -> None:
        """Read nothing more for the present."""

    def parse(self) -> None:
        """Parse what was read, and read on."""


class InputTurns:
    """Parses input for a part of each turn of the event loop.

    What doesn't fit waits for the next turn, and its connections are not read
    meanwhile. A connection that sends much is parsed after those that sent little, and
    one of the former has its turn each time, so that none waits for ever. Of the
    requests that were queued behind others on their connections, one is handled in each
    turn.
    """

    def __init__(self, clock: Callable[[], float] = time.perf_counter) -> None:
        self.buffer = bytearray(READ_SIZE)
        """Where all connections read into; emptied before the next one reads."""

        self._clock = clock
        self._spent = 0.0
        self._light: deque[Input] = deque()
        self._heavy: deque[Input] = deque()
        self._queued: dict[asyncio.Future[None], None] = {}
        """Connections with a queued request, the one that has waited longest first."""

        self._is_scheduled = False

    @callback
    def submit(self, connection: Input) -> None:
        """Parse what a connection has read, at once if there is time."""
        self._schedule()
        if self._spent < TURN_TIME and not self._light and connection.is_light:
            self._parse(connection)
            return
        connection.hold()
        (self._light if connection.is_light else self._heavy).append(connection)

    async def async_wait_queued(self) -> None:
        """Wait until the next queued request of a connection may be handled."""
        turn = asyncio.get_running_loop().create_future()
        self._queued[turn] = None
        self._schedule()
        try:
            await turn
        finally:
            del self._queued[turn]

    @callback
    def _begin_turn(self) -> None:
        """Serve those for whom earlier turns had no time."""
        self._is_scheduled = False
        self._spent = 0.0
        self._release_queued()
        if self._heavy:
            self._parse(self._heavy.popleft())
        for waiting in (self._light, self._heavy):
            while waiting and self._spent < TURN_TIME:
                self._parse(waiting.popleft())
        if self._light or self._heavy or self._queued:
            self._schedule()

    @callback
    def _release_queued(self) -> None:
        """Let the queued request that has waited longest be handled."""
        turn = next((it for it in self._queued if not it.done()), None)
        if turn is not None:
            turn.set_result(None)

    @callback
    def _parse(self, connection: Input) -> None:
        """Parse the input of a connection and count the time."""
        began_at = self._clock()
        connection.parse()
        self._spent += self._clock() - began_at

    @callback
    def _schedule(self) -> None:
        """Begin another turn with the next one of the event loop."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)
