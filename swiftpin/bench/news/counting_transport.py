"""Count of the bytes that gRPC connections write."""

from __future__ import annotations

from asyncio import BaseTransport
from typing import Any

from grpclib.protocol import H2Protocol


class WireCounter:
    """Bytes written by all gRPC connections of the process, framing included."""

    def __init__(self) -> None:
        self.written = 0


class CountingTransport:
    """Passes everything on to a transport and counts what is written."""

    def __init__(self, transport: BaseTransport, counter: WireCounter) -> None:
        self._transport = transport
        self._counter = counter

    def write(self, data: bytes) -> None:
        """Write and count."""
        self._counter.written += len(data)
        self._transport.write(data)  # type: ignore[attr-defined]

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401 - any attribute
        return getattr(self._transport, name)


def count_wire_bytes() -> WireCounter:
    """Count what every connection opened from now on writes."""
    counter = WireCounter()
    original = H2Protocol.connection_made

    def connection_made(protocol: H2Protocol, transport: BaseTransport) -> None:
        """Let the protocol write through a counter."""
        original(protocol, CountingTransport(transport, counter))  # type: ignore[arg-type]

    H2Protocol.connection_made = connection_made  # type: ignore[method-assign,assignment]
    return counter
