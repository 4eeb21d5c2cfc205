"""Stand-in for the platform's store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from review.support.http1 import Message, read_message, render

PAGE = 500


@dataclass(kw_only=True, slots=True)
class StoredObject:
    """An object; its content is kept as the bytes that its writer sent."""

    name: str
    revision: int
    created: int
    content: bytes
    status: bytes = b"null"

    def encode(self) -> bytes:
        """Return the object as JSON."""
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "create_rev": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return b'{"metadata":%s,"specification":%s,"status":%s}' % (
            json.dumps(metadata, ensure_ascii=False).encode("utf-8", "surrogateescape"),
            self.content,
            self.status,
        )


class Store:
    """Keeps objects by kind and name; answers lists, watches and writes."""

    def __init__(self) -> None:
        self.address = ""
        self._revision = 1
        self._objects: dict[str, dict[str, StoredObject]] = {}
        self._events: list[tuple[int, str, bytes]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def put(self, kind: str, name: str, content: object) -> None:
        """Write an object as the operator or an upstream does."""
        encoded = (
            content if isinstance(content, bytes) else json.dumps(content).encode()
        )
        async with self._changed:
            self._write(kind, name, encoded)
            self._changed.notify_all()

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object, as when an upstream has left."""
        async with self._changed:
            self._delete(kind, name)
            self._changed.notify_all()

    def read(self, kind: str, name: str) -> Any:  # noqa: ANN401  # any JSON value
        """Return the content of an object, None if it does not exist."""
        stored = self._objects.get(kind, {}).get(name)
        return None if stored is None else json.loads(stored.content)

    def _write(self, kind: str, name: str, content: bytes) -> StoredObject:
        """Create or replace an object; one that is equal keeps its revision."""
        objects = self._objects.setdefault(kind, {})
        stored = objects.get(name)
        if stored is not None and stored.content == content:
            return stored
        self._revision += 1
        created = self._revision if stored is None else stored.created
        stored = StoredObject(
            name=name, revision=self._revision, created=created, content=content
        )
        objects[name] = stored
        self._add_event(kind, stored, deleted=False)
        return stored

    def _delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is None:
            return
        self._revision += 1
        stored.revision = self._revision
        self._add_event(kind, stored, deleted=True)

    def _add_event(self, kind: str, stored: StoredObject, *, deleted: bool) -> None:
        """Add an event for the watches."""
        flag = b"true" if deleted else b"false"
        event = b'{"deleted":%s,"object":%s}' % (flag, stored.encode())
        self._events.append((self._revision, kind, event))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                headers = {"Content-Type": "application/json"}
                writer.write(render(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        """Return status and body for a call."""
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix("/api/objects/").partition("/")
        name = unquote(name)
        if request.method == "GET" and not name:
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query)
        async with self._changed:
            result = self._call(request, kind, name, query)
            self._changed.notify_all()
        return result

    def _list(self, kind: str, query: dict[str, str]) -> tuple[int, bytes]:
        """Return a page of a list."""
        after = query.get("after", "")
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        items = b",".join(objects[name].encode() for name in names[:PAGE])
        more = b"true" if len(names) > PAGE else b"false"
        return 200, b'{"items":[%s],"more":%s,"at":%d}' % (items, more, self._revision)

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, bytes]:
        """Return the events after a revision as soon as there is one."""
        since = int(query["watch"])
        try:
            async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000):
                async with self._changed:
                    await self._changed.wait_for(lambda: self._since(kind, since))
        except TimeoutError:
            pass
        events = b",".join(self._since(kind, since))
        return 200, b'{"events":[%s],"at":%d}' % (events, self._revision)

    def _since(self, kind: str, since: int) -> list[bytes]:
        """Return the events of a kind after a revision."""
        return [event for at, of, event in self._events if at > since and of == kind]

    def _call(
        self, request: Message, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        """Carry out a call that concerns one object."""
        objects = self._objects.setdefault(kind, {})
        if request.method == "POST":
            document = json.loads(request.body)
            name = document["metadata"]["name"]
            if name in objects:
                return 409, objects[name].encode()
            return self._put(kind, name, document)
        name = name.removesuffix("/status")
        stored = objects.get(name)
        if stored is None:
            return 404, b""
        if request.method == "GET":
            return 200, stored.encode()
        if request.method == "DELETE":
            if query.get("revision") not in (None, str(stored.revision)):
                return 409, stored.encode()
            self._delete(kind, name)
            return 200, b""
        document = json.loads(request.body)
        if document["metadata"].get("revision") not in (None, stored.revision):
            return 409, stored.encode()
        return self._put(kind, name, document)

    def _put(self, kind: str, name: str, document: Any) -> tuple[int, bytes]:  # noqa: ANN401
        """Write the content of a document."""
        content = json.dumps(document["specification"]).encode()
        return 200, self._write(kind, name, content).encode()
