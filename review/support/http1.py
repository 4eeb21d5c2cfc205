"""A minimal HTTP/1.1 reader and writer for stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class Message:
    """A request or an answer with its whole body."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)
    """Values by lower-case name."""

    body: bytes = b""
    is_complete: bool = True
    """Whether the body ended as its framing says."""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.line.split()[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None at the end of the connection.

    An answer that states neither a length nor chunks ends with its connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *fields = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for text in fields:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(line=line, headers=headers)
    try:
        message.body = await _read_body(reader, message)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.is_complete = False
    return message


async def _read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Return the body of a message."""
    headers = message.headers
    if "chunked" in headers.get("transfer-encoding", ""):
        return await _read_chunks(reader)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    is_answer = message.line.startswith("HTTP/")
    if not is_answer or message.status in (204, 304) or message.status < 200:
        return b""
    return await reader.read(-1)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body that comes in chunks."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def render(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{line}\r\n{head}\r\n".encode("latin-1") + body
