"""Links between instances and targets that can be cut, within one process."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Any, Final

import pytest

from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.http_connection import HttpConnection
from swiftpin.dispatch.http_pool import HttpPool
from swiftpin.exceptions import ConnectionFailedError

RETRANSMISSION: Final = 0.2
"""Seconds after the end of a cut until delayed bytes arrive."""


class CutKind(Enum):
    """What becomes of the connections of a link that is cut."""

    HANG = "hang"
    """Nothing passes in either direction."""

    RESET = "reset"
    """Open connections are reset and new ones are refused."""

    REFUSE_NEW = "refuse-new"
    """Open connections work and new ones are refused."""

    NO_ANSWERS = "no-answers"
    """Requests pass, answers and handshakes do not."""


class LinkCuts:
    """Knows which instances are cut off from which targets."""

    def __init__(self) -> None:
        self._cuts: dict[str, tuple[CutKind, frozenset[str] | None]] = {}
        self._silent_addresses: set[str] = set()
        self.instances_by_connection: dict[tuple[str, int], str] = {}
        """Instances by the remote address and local port of their connections."""

        self._transports: dict[str, list[CutTransport]] = {}

    def cut(
        self, instance: str, kind: CutKind, addresses: frozenset[str] | None = None
    ) -> None:
        """Cut an instance off from target addresses, by default from all."""
        self._cuts[instance] = (kind, addresses)
        if kind is CutKind.RESET:
            for transport in self._transports.pop(instance, []):
                if self.kind_of(instance, transport.address):
                    transport.abort()

    def heal(self, instance: str) -> None:
        """End the cut of an instance; delayed bytes arrive."""
        self._cuts.pop(instance, None)
        loop = asyncio.get_running_loop()
        for transport in self._transports.get(instance, []):
            loop.call_later(RETRANSMISSION, transport.deliver_delayed)

    def silence(self, address: str) -> None:
        """Let a target fall silent for all instances; nobody hears that it ends."""
        self._silent_addresses.add(address)

    def revive(self, address: str) -> None:
        """Let an address answer again; connections to what ended there are reset."""
        self._silent_addresses.discard(address)
        for transports in self._transports.values():
            for transport in transports:
                if transport.address == address and transport.is_closing():
                    transport.lose_connection()

    def is_silent(self, address: str) -> bool:
        """Return whether a target is silent."""
        return address in self._silent_addresses

    def kind_of(self, instance: str, address: str) -> CutKind | None:
        """Return how a link is cut, None if it works."""
        if self.is_silent(address):
            return CutKind.HANG
        kind, addresses = self._cuts.get(instance, (None, None))
        return kind if addresses is None or address in addresses else None

    def add(self, instance: str, transport: CutTransport) -> None:
        """Track an open connection."""
        transports = self._transports.setdefault(instance, [])
        transports[:] = [other for other in transports if not other.is_closing()]
        transports.append(transport)

    def install(
        self, monkeypatch: pytest.MonkeyPatch, instance: str, client: HttpClient
    ) -> None:
        """Open the connections of a client over links that can be cut."""
        make_pool = client._pool

        def pool(address: str, connections: int) -> HttpPool:
            made = make_pool(address, connections)
            if not isinstance(made, CutPool):
                cut_pool = CutPool(
                    made.address,
                    limit=connections,
                    connect_limit=made._connect_limit,
                    idle_limit=made._idle_limit,
                    untaken_limit=made._untaken_limit,
                )
                cut_pool.cuts, cut_pool.instance = self, instance
                made = client._pools_by_address[address] = cut_pool
            return made

        monkeypatch.setattr(client, "_pool", pool)


class CutPool(HttpPool):
    """Connections to one target over a link that can be cut."""

    cuts: LinkCuts
    instance: str

    async def async_connect(self) -> HttpConnection:
        """Open a connection, unless the link is cut."""
        address = str(self.address)
        match self.cuts.kind_of(self.instance, address):
            case CutKind.HANG | CutKind.NO_ANSWERS:
                await asyncio.sleep(self._connect_limit)
                raise ConnectionFailedError(f"no connection to {address}: timeout")
            case CutKind.RESET | CutKind.REFUSE_NEW:
                raise ConnectionFailedError(f"no connection to {address}: refused")
        connection = await super().async_connect()
        protocol = connection.protocol
        assert protocol.transport is not None
        port = protocol.transport.get_extra_info("sockname")[1]
        self.cuts.instances_by_connection[address, port] = self.instance
        transport = CutTransport(self.cuts, self.instance, address, protocol)
        self.cuts.add(self.instance, transport)
        return connection


class CutTransport(asyncio.Transport):
    """Transport of a connection that carries nothing while its link is cut."""

    def __init__(
        self,
        cuts: LinkCuts,
        instance: str,
        address: str,
        protocol: Any,  # noqa: ANN401
    ) -> None:
        super().__init__()
        self.address = address
        self._cuts = cuts
        self._instance = instance
        self._protocol = protocol
        self._inner = protocol.transport
        self._receive = protocol.data_received
        self._lose_connection = protocol.connection_lost
        self._is_closed_here = False
        self._unsent: list[bytes] = []
        self._unreceived: list[bytes] = []
        protocol.transport = self
        protocol.data_received = self._data_received
        protocol.connection_lost = self._connection_lost

    def deliver_delayed(self) -> None:
        """Deliver what was delayed by a cut."""
        if self.is_closing() or self._passes_requests is False:
            return
        unsent, self._unsent = self._unsent, []
        unreceived, self._unreceived = self._unreceived, []
        self._inner.writelines(unsent)
        for data in unreceived:
            self._receive(data)

    def lose_connection(self) -> None:
        """Reset the connection from the other side."""
        if not self._is_closed_here:
            self._lose_connection(ConnectionResetError("reset by the target"))

    def write(self, data: Any) -> None:  # noqa: ANN401
        """Send data, or keep it while the link is cut."""
        if self._unsent or not self._passes_requests:
            self._unsent.append(bytes(data))
        else:
            self._inner.write(data)

    def writelines(self, list_of_data: Any) -> None:  # noqa: ANN401
        """Send several pieces of data."""
        for data in list_of_data:
            self.write(data)

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing, as far as is known."""
        if self._cuts.is_silent(self.address) and not self._is_closed_here:
            return False
        return bool(self._inner.is_closing())

    def close(self) -> None:
        """Close the connection."""
        self._is_closed_here = True
        self._inner.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._is_closed_here = True
        self._inner.abort()

    def pause_reading(self) -> None:
        """Pause receiving."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume receiving."""
        self._inner.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        """Return information about the connection."""
        if name == "socket" and self._inner.is_closing():
            # A silent target has closed its side, which nobody may see.
            return None
        return self._inner.get_extra_info(name, default)

    @property
    def _passes_requests(self) -> bool:
        kind = self._cuts.kind_of(self._instance, self.address)
        return kind in (None, CutKind.REFUSE_NEW, CutKind.NO_ANSWERS)

    def _connection_lost(self, exc: Exception | None) -> None:
        """Pass on that the connection is closed, unless its target is silent."""
        if self._is_closed_here or not self._cuts.is_silent(self.address):
            self._lose_connection(exc)

    def _data_received(self, data: bytes) -> None:
        kind = self._cuts.kind_of(self._instance, self.address)
        if self._unreceived or kind not in (None, CutKind.REFUSE_NEW):
            self._unreceived.append(data)
        else:
            self._receive(data)
