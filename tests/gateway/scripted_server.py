"""TCP server whose answers a test scripts byte by byte."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
import json
import socket
import struct

PATH_STATUS = "/_target/status"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, kw_only=True, slots=True)
class SeenRequest:
    """A request as it came in; header names are in lower case."""

    method: str
    path: str
    headers_by_name: dict[str, str]
    body: bytes


class ScriptedConnection:
    """What a script may do with one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def async_answer(
        self,
        body: bytes = b"ok",
        *,
        status: str = "200 OK",
        headers: str = "",
        length: int | None = None,
    ) -> None:
        """Write an answer; `length` may promise more than `body` holds."""
        promised = len(body) if length is None else length
        head = f"HTTP/1.1 {status}\r\nContent-Length: {promised}\r\n{headers}\r\n"
        await self.async_write(head.encode() + body)

    async def async_write(self, data: bytes) -> None:
        """Write bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def async_wait_closed(self) -> None:
        """Wait until the other side closed or reset the connection."""
        with suppress(ConnectionResetError):
            while await self.reader.read(65536):
                pass

    def close(self) -> None:
        """Close the connection in order."""
        self.writer.close()

    def reset(self) -> None:
        """Break the connection off."""
        raw_socket = self.writer.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()


Script = Callable[[ScriptedConnection, SeenRequest], Awaitable[None]]


async def async_answer_ok(connection: ScriptedConnection, request: SeenRequest) -> None:
    """Answer every request."""
    await connection.async_answer()


class ScriptedServer:
    """Reads requests and lets the script answer each, but for probes.

    `on_connect` may serve a connection before its requests are read.
    """

    def __init__(self) -> None:
        self.script: Script = async_answer_ok
        self.on_connect: Callable[[ScriptedConnection], Awaitable[None]] | None = None
        self.seen: list[SeenRequest] = []
        self.connections = 0
        self.boot_id = "boot-1"
        self.arrived = asyncio.Event()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_setup(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def async_unload(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def stop_listening(self) -> None:
        """Refuse further connections."""
        if self._server is not None:
            self._server.close()

    def _status(self) -> bytes:
        """Return the answer to a probe."""
        document = {"boot_id": self.boot_id, "clock": 0.0, "slots": 2, "busy": 0}
        return json.dumps(
            {**document, "queued": 0, "draining": False, "cold": False}
        ).encode()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = ScriptedConnection(reader, writer)
        fresh = True
        try:
            if self.on_connect is not None:
                await self.on_connect(connection)
            while True:
                request = await _async_read_request(reader)
                if request.path == PATH_STATUS:
                    await connection.async_answer(self._status())
                    continue
                self.connections += fresh
                fresh = False
                self.seen.append(request)
                self.arrived.set()
                await self.script(connection, request)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def _async_read_request(reader: asyncio.StreamReader) -> SeenRequest:
    """Read one request; a chunked body is kept as it was framed."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, path, _ = head[0].split(" ")
    headers_by_name = {}
    for line in head[1:-2]:
        name, _, value = line.partition(": ")
        headers_by_name[name.lower()] = value
    if headers_by_name.get("transfer-encoding") == "chunked":
        body = await _async_read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers_by_name.get("content-length", 0)))
    return SeenRequest(
        method=method, path=path, headers_by_name=headers_by_name, body=body
    )


async def _async_read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body that comes in chunks."""
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
    await reader.readuntil(b"\r\n")
    return body
