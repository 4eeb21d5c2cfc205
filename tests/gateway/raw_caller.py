"""Caller that sees answers byte by byte."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class RawAnswer:
    """An answer; header names are in lower case, `whole` is False for a cut one."""

    status: int
    headers_by_name: dict[str, str]
    body: bytes
    whole: bool = True

    @property
    def result(self) -> int:
        """Return the result code."""
        return int(self.headers_by_name["swiftpin-result"])

    @property
    def error(self) -> dict[str, Any]:
        """Return the JSON body."""
        document: dict[str, Any] = json.loads(self.body)
        return document


class RawCaller:
    """One connection to the gateway."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.partition(":")
        self._port = int(port)
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def async_setup(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(self._host, self._port)

    async def async_unload(self) -> None:
        """Disconnect."""
        self.writer.close()

    async def async_send(
        self,
        method: str = "GET",
        path: str = "/desk/items/1",
        *,
        key: str | None = "k1",
        headers: str = "",
        body: bytes | None = None,
    ) -> None:
        """Send a request; `headers` are whole lines."""
        head = f"{method} {path} HTTP/1.1\r\nHost: gateway\r\n{headers}"
        if key is not None:
            head += f"Swiftpin-Key: {key}\r\n"
        if body is not None:
            head += f"Content-Length: {len(body)}\r\n"
        await self.async_send_raw(head.encode() + b"\r\n" + (body or b""))

    async def async_send_raw(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def async_call(
        self,
        method: str = "GET",
        path: str = "/desk/items/1",
        *,
        key: str | None = "k1",
        headers: str = "",
        body: bytes | None = None,
    ) -> RawAnswer:
        """Send a request and read its answer."""
        await self.async_send(method, path, key=key, headers=headers, body=body)
        return await self.async_read(has_body=method != "HEAD")

    async def async_read(self, *, has_body: bool = True) -> RawAnswer:
        """Read an answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers_by_name = {}
        for line in head[1:-2]:
            name, _, value = line.partition(": ")
            headers_by_name[name.lower()] = value
        body, whole = b"", True
        if has_body:
            body, whole = await self._async_read_body(headers_by_name)
        return RawAnswer(
            status=int(head[0].split(" ")[1]),
            headers_by_name=headers_by_name,
            body=body,
            whole=whole,
        )

    async def _async_read_body(
        self, headers_by_name: dict[str, str]
    ) -> tuple[bytes, bool]:
        """Return the body, and whether it was whole."""
        body = b""
        try:
            if headers_by_name.get("transfer-encoding") != "chunked":
                length = int(headers_by_name.get("content-length", 0))
                return await self.reader.readexactly(length), True
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                body += await self.reader.readexactly(size)
                await self.reader.readuntil(b"\r\n")
            await self.reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False
        return body, True
