"""Clients that send what no HTTP client should, in a process of their own.

They press until standard input is closed, and then print how often they connected.
Before that a line tells when each of them has tried to connect once.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass
import socket
import sys
from typing import Final

from tests.router.site import HOST

BLOCK: Final = 64 * 1024
"""Bytes that a client sends at a time."""

CONNECT_PAUSE: Final = 0.02
"""Seconds before a client connects again that was refused a connection."""

CONNECTING: Final = 64
"""Connections that a standing crowd opens at a time."""

HEADERS: Final = (
    f"Host: {HOST}\r\nSwiftpin-Request-Id: press\r\n"
    "Swiftpin-Deadline-Milliseconds: 2000\r\n"
).encode()


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """What each client sends: `opening` once, then `repeated` without end."""

    opening: bytes = b""
    repeated: bytes = b""
    reads: bool = True
    """Whether the client reads its answers."""


def request(method: str, path: str, headers: str = "") -> bytes:
    """Return the head of a request."""
    return (
        f"{method} {path} HTTP/1.1\r\n".encode() + HEADERS + f"{headers}\r\n".encode()
    )


OPEN_HEAD: Final = request("GET", "/read/short")[:-2]
CHUNKED: Final = request("POST", "/read/short", "Transfer-Encoding: chunked\r\n")
LENGTH: Final = "Content-Length: 1000000000000\r\n"
UPGRADE: Final = "Connection: Upgrade\r\nUpgrade: websocket\r\n"
WHOLE: Final = request("GET", "/read/short")
MISSING: Final = request("GET", "/missing")

KINDS_BY_NAME: Final = {
    "header": Kind(opening=OPEN_HEAD + b"X-Long: ", repeated=b"a"),
    "header-name": Kind(opening=OPEN_HEAD, repeated=b"a"),
    "header-lines": Kind(opening=OPEN_HEAD, repeated=b"x-line: " + b"a" * 90 + b"\r\n"),
    "short-header-lines": Kind(opening=OPEN_HEAD, repeated=b"a:\r\n"),
    "path": Kind(opening=b"GET /", repeated=b"a"),
    "method": Kind(repeated=b"A"),
    "empty-lines": Kind(repeated=b"\r\n"),
    "no-http": Kind(repeated=bytes(range(256))),
    "after-request": Kind(opening=WHOLE, repeated=b"\x00no request\r\n"),
    "after-upgrade": Kind(
        opening=request("GET", "/read/short", UPGRADE), repeated=b"\x00data"
    ),
    "after-connect": Kind(
        opening=request("CONNECT", f"{HOST}:80"), repeated=b"\x00data"
    ),
    "after-refusal": Kind(opening=request("POST", "/missing", LENGTH), repeated=b"a"),
    "body-over-limit": Kind(
        opening=CHUNKED, repeated=b"8000\r\n" + b"a" * 0x8000 + b"\r\n"
    ),
    "one-byte-chunks": Kind(opening=CHUNKED, repeated=b"1\r\nx\r\n"),
    "chunk-extension": Kind(opening=CHUNKED + b"1;", repeated=b"e"),
    "chunk-size": Kind(opening=CHUNKED, repeated=b"0"),
    "trailers": Kind(opening=CHUNKED + b"1\r\nx\r\n0\r\n", repeated=b"a:b\r\n"),
    "pipelined": Kind(repeated=MISSING),
    "unread-answers": Kind(repeated=MISSING, reads=False),
    "unread-long-heads": Kind(
        repeated=request("GET", "/missing", "a:\r\n" * 100 + f"x: {'a' * 15_000}\r\n"),
        reads=False,
    ),
    "unread-status": Kind(
        repeated=request("GET", "/metrics"),
        reads=False,
    ),
    "silent": Kind(),
    "half-head": Kind(opening=OPEN_HEAD + b"X-Long: " + b"a" * 15_000),
    "half-head-of-lines": Kind(opening=OPEN_HEAD + b"a:\r\n" * 100),
    "stalled-body": Kind(
        opening=request("POST", "/read/short", "Content-Length: 1000000\r\n") + b"a"
    ),
    "frame": Kind(opening=b"\x03\x00\x00\x00", repeated=b"a"),
}
"""Kinds without `repeated` send their opening and stay connected."""


class MisbehavingCallers:
    """A crowd of clients of one kind."""

    def __init__(self, address: str, kind: Kind) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._kind = kind
        self._opened = asyncio.Semaphore(CONNECTING)
        count = max(BLOCK // max(len(kind.repeated), 1), 1)
        self._block = kind.repeated * count
        self.connects = 0
        self.settled = asyncio.Event()
        """Set when each client has tried to connect once."""

        self._tried = 0

    async def async_run(self, clients: int) -> None:
        """Press until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(clients):
                tasks.create_task(self._async_repeat(clients))

    async def _async_repeat(self, clients: int) -> None:
        """Connect again and again."""
        opening = self._async_open(clients)
        while True:
            try:
                async with opening as connection:
                    await self._async_press(connection)
            except OSError:
                await asyncio.sleep(CONNECT_PAUSE)
            opening = self._async_open()

    @contextlib.asynccontextmanager
    async def _async_open(self, clients: int = 0) -> AsyncIterator[socket.socket]:
        """Open a connection, and count it if it is the first one of `clients`."""
        loop = asyncio.get_running_loop()
        with contextlib.closing(socket.socket()) as connection:
            connection.setblocking(False)
            try:
                async with self._opened:
                    await loop.sock_connect(connection, self._address)
                    self.connects += 1
                    await loop.sock_sendall(connection, self._kind.opening)
            finally:
                self._tried += clients > 0
                if self._tried == clients:
                    self.settled.set()
            yield connection

    async def _async_press(self, connection: socket.socket) -> None:
        """Send over one connection until it is closed."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            reading = (
                tasks.create_task(self._async_read(connection))
                if self._kind.reads or not self._block
                else None
            )
            try:
                while self._block:
                    await loop.sock_sendall(connection, self._block)
                if reading is not None:
                    await reading
            except OSError:
                if reading is not None:
                    reading.cancel()

    async def _async_read(self, connection: socket.socket) -> None:
        """Read and forget until the connection is closed."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while await loop.sock_recv(connection, BLOCK):
                pass


async def async_main(address: str, kind: str, clients: int) -> None:
    """Press until standard input is closed, then print the number of connections."""
    callers = MisbehavingCallers(address, KINDS_BY_NAME[kind])
    pressing = asyncio.create_task(callers.async_run(clients))
    loop = asyncio.get_running_loop()
    closed = loop.run_in_executor(None, sys.stdin.read)
    settled = asyncio.create_task(callers.settled.wait())
    await asyncio.wait((closed, settled), return_when=asyncio.FIRST_COMPLETED)
    print("settled", flush=True)
    await closed
    pressing.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await pressing
    print(callers.connects, flush=True)


if __name__ == "__main__":
    asyncio.run(async_main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
