"""Tests of the choice of ports."""

from __future__ import annotations

import socket

from swiftpin.bench.processes.port_allocator import LOOPBACK, PortAllocator, is_free


def test_no_address_is_handed_out_twice() -> None:
    """Ports differ though nobody listens on them yet."""
    allocator = PortAllocator()
    addresses = {allocator.allocate() for _ in range(300)}
    assert len(addresses) == 300


def test_port_in_use_is_not_free() -> None:
    """A port somebody listens on is passed over."""
    with socket.socket() as server:
        server.bind((LOOPBACK, 0))
        server.listen()
        assert not is_free(server.getsockname()[1])
