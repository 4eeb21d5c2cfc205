"""Network between the simulated instances of a fleet, in virtual time."""

from __future__ import annotations

import asyncio
from collections import deque
from random import Random
from typing import Any, Final

from swiftpin.fleet.proto import fleet_pb2 as pb

MIN_LATENCY: Final = 0.001
MAX_LATENCY: Final = 0.006
"""Bounds of the one-way latency between two instances, in seconds."""

POLL_INTERVAL: Final = 0.05
"""Seconds between two checks whether a blocked connection works again."""


class Network:
    """Knows which instances are isolated or frozen."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.isolated: set[str] = set()
        """Instances that reach neither the store nor other instances."""

        self.separated: set[str] = set()
        """Instances that reach the store and each other, but no other instances."""

        self.frozen: set[str] = set()

    def latency(self) -> float:
        """Return a random one-way latency."""
        return self.random.uniform(MIN_LATENCY, MAX_LATENCY)

    def is_open(self, one: str, other: str) -> bool:
        """Return whether frames pass between two instances."""
        if one == other:
            return True
        is_same_side = (one in self.separated) == (other in self.separated)
        return is_same_side and not {one, other} & self.isolated

    async def async_wait_open(self, one: str, other: str) -> None:
        """Wait until frames pass between two instances."""
        while not self.is_open(one, other):  # noqa: ASYNC110  # virtual time
            await asyncio.sleep(POLL_INTERVAL)

    async def async_wait_thawed(self, name: str) -> None:
        """Wait until an instance is not frozen."""
        while name in self.frozen:  # noqa: ASYNC110  # virtual time
            await asyncio.sleep(POLL_INTERVAL)


class SimulatedStream:
    """One end of a connection that delivers frames in order, as TCP does."""

    def __init__(self, network: Network, owner: str) -> None:
        self._network = network
        self._owner = owner
        self._peer: SimulatedStream | None = None
        self._frames: deque[tuple[float, bytes]] = deque()
        self._changed = asyncio.Event()
        self._is_ended = False

    def join(self, peer: SimulatedStream) -> None:
        """Connect two ends to each other."""
        self._peer, peer._peer = peer, self

    def end(self) -> None:
        """End the connection at both ends."""
        assert self._peer is not None
        for stream in (self, self._peer):
            stream._is_ended = True
            stream._changed.set()

    async def send_message(self, message: Any) -> None:  # noqa: ANN401
        """Send a frame."""
        assert self._peer is not None
        await self._network.async_wait_thawed(self._owner)
        arrives_at = asyncio.get_running_loop().time() + self._network.latency()
        self._peer._frames.append((arrives_at, message.SerializeToString()))
        self._peer._changed.set()

    async def recv_message(self) -> Any:  # noqa: ANN401
        """Return the next frame, None at the end of the stream."""
        assert self._peer is not None
        while not self._frames:
            if self._is_ended:
                return None
            self._changed.clear()
            await self._changed.wait()
        arrives_at, body = self._frames.popleft()
        await asyncio.sleep(max(arrives_at - asyncio.get_running_loop().time(), 0.0))
        await self._network.async_wait_open(self._owner, self._peer._owner)
        await self._network.async_wait_thawed(self._owner)
        return pb.Frame.FromString(body)
