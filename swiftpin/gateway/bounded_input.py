"""Reading side of a connection, which reads little at a time."""

from __future__ import annotations

import asyncio

from swiftpin.core import callback
from swiftpin.gateway.http_protocol import GatewayProtocol
from swiftpin.gateway.input_turns import LIGHT_INPUT, InputTurns


class BoundedInput(asyncio.BufferedProtocol):
    """Passes a connection's events on, and its input when there is time for it.

    An event loop that is not given a buffer reads up to 256 KB at a time, all of which
    would be parsed before any other connection gets its turn.
    """

    def __init__(self, protocol: GatewayProtocol, turns: InputTurns) -> None:
        self._protocol = protocol
        self._turns = turns
        self._is_open = False
        self._data = b""

    @property
    def is_light(self) -> bool:
        """Return whether the client has sent little since its last request began."""
        return self._protocol.unclaimed_input <= LIGHT_INPUT

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin a connection."""
        self._is_open = True
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection."""
        self._is_open = False
        self._data = b""
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the client reads too slowly."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the client has read what was written."""
        self._protocol.resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read into."""
        return memoryview(self._turns.buffer)

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self._data = bytes(memoryview(self._turns.buffer)[:nbytes])
        self._turns.submit(self)

    def eof_received(self) -> None:
        """Pass on that the client sends nothing more."""
        self._protocol.eof_received()

    @callback
    def hold(self) -> None:
        """Read nothing more until what was read is parsed."""
        self._protocol.hold_input()

    @callback
    def parse(self) -> None:
        """Parse what was read, and read on."""
        data, self._data = self._data, b""
        if not self._is_open:
            return
        self._protocol.data_received(data)
        self._protocol.release_input()
