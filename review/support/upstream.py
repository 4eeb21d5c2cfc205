"""Stand-in for an upstream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
import time
from typing import Any

from review.support.http1 import Message, read_message, render
from review.support.record import Record


@dataclass(kw_only=True, slots=True)
class Hold:
    """Keys that an upstream holds until a time."""

    first: int
    last: int
    fence: int
    until: float


class Upstream:
    """Runs requests, for a keyed service only those whose keys it holds."""

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        *,
        is_keyed: bool,
        zone: str = "z1",
        slots: int = 2,
        work: float = 0.02,
    ) -> None:
        self.name = name
        self.address = ""
        self.runs: list[str] = []
        """Ids of the requests that it ran, in order."""

        self.lost_every = 0
        """Each such run's answer is lost, with its connection; 0 loses none."""

        self.lost: list[str] = []
        """Ids of the requests whose answers were lost."""

        self._service = service
        self._record = record
        self._is_keyed = is_keyed
        self._zone = zone
        self._slots = slots
        self._work = work
        self._running = 0
        self._running_keys: list[int] = []
        """Keys of the requests that it runs or has queued."""

        self._finished = 0
        self._free_slots = asyncio.Semaphore(slots)
        self._holds: list[Hold] = []
        self._fences: list[tuple[int, int, int]] = []
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

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "address": self.address,
            "information": {
                "service": self._service,
                "version": "v1",
                "zone": self._zone,
                "slots": self._slots,
            },
            "status": {"state": state, "sequence": 1, "cold_ms": 0},
        }

    def holds(self, key: int) -> bool:
        """Return whether it holds a key now."""
        now = time.monotonic()
        return any(h.first <= key <= h.last and now < h.until for h in self._holds)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        try:
            while (request := await read_message(reader)) is not None:
                if not request.is_complete:
                    return
                answer = await self.answer(request, writer)
                if not answer:
                    return
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bytes:
        """Return the bytes of the answer; none closes the connection."""
        expected = request.headers.get("swiftpin-expected-instance", self.name)
        if expected != self.name:
            return _reject(421, {"Swiftpin-Instance-Id": self.name})
        if request.target == "/health":
            return render("HTTP/1.1 200 OK", {"Swiftpin-Instance-Id": self.name})
        if request.target == "/api/grant":
            return self._grant(json.loads(request.body))
        if request.target == "/api/release":
            return await self._release(json.loads(request.body))
        answer = await self.work(request)
        if request.headers.get("swiftpin-request-id") in self.lost:
            writer.transport.abort()
            return b""
        return answer

    async def work(self, request: Message) -> bytes:
        """Run a request."""
        request_id = request.headers.get("swiftpin-request-id", "")
        key = int(request.headers.get("swiftpin-shard-key", "-1"))
        echo = {"Swiftpin-Request-Id": request_id}
        if self._is_keyed and not self.holds(key):
            return _reject(421, {**echo, "Swiftpin-Instance-Id": self.name})
        if self._running >= self._slots + 8:
            return _reject(503, echo)
        self._running += 1
        self._running_keys.append(key)
        try:
            async with self._free_slots:
                self.runs.append(request_id)
                self._record.add(
                    f"{self.name} runs {request_id} {request.method} {request.target}"
                )
                await asyncio.sleep(self._work)
        finally:
            self._running -= 1
            self._running_keys.remove(key)
        self._finished += 1
        if self.lost_every and self._finished % self.lost_every == 0:
            self.lost.append(request_id)
            self._record.add(f"{self.name} loses the answer to {request_id}")
        body = f"{self.name}:{request_id}:".encode() + request.body
        headers = {**echo, "Swiftpin-Upstream-Signature": f"signed.{request_id}"}
        return render("HTTP/1.1 200 OK", headers, body)

    def _grant(self, body: dict[str, Any]) -> bytes:
        """Take keys, or renew their lease."""
        first, last, fence = body["from"], body["to"], body["fence"]
        if any(
            low <= last and first <= high and fence < seen
            for low, high, seen in self._fences
        ):
            self._record.add(f"{self.name} refuses {first}-{last} fence {fence}")
            return render("HTTP/1.1 409 Conflict", {})
        if (first, last, fence) not in self._fences:
            self._fences.append((first, last, fence))
            self._record.add(f"{self.name} granted {first}-{last} fence {fence}")
        self._drop(first, last)
        until = time.monotonic() + body["hold_ms"] / 1000
        self._holds.append(Hold(first=first, last=last, fence=fence, until=until))
        return render("HTTP/1.1 200 OK", {})

    async def _release(self, body: dict[str, Any]) -> bytes:
        """Give up keys and answer once the work on them has ended."""
        first, last, fence = body["from"], body["to"], body["fence"]
        self._record.add(f"{self.name} releases {first}-{last} fence {fence}")
        self._fences.append((first, last, fence))
        self._drop(first, last)
        while any(first <= key <= last for key in self._running_keys):  # noqa: ASYNC110  # polling is enough in a stand-in
            await asyncio.sleep(0.002)
        headers = {"Swiftpin-Handover": f"{self.name}.{fence}"}
        return render("HTTP/1.1 200 OK", headers)

    def _drop(self, first: int, last: int) -> None:
        """Forget that it holds some keys."""
        kept = []
        for hold in self._holds:
            for low, high in (
                (hold.first, min(hold.last, first - 1)),
                (max(hold.first, last + 1), hold.last),
            ):
                if low <= high:
                    kept.append(
                        Hold(first=low, last=high, fence=hold.fence, until=hold.until)
                    )
        self._holds = kept


def _reject(status: int, headers: dict[str, str]) -> bytes:
    """Return the answer to a request that isn't run."""
    fields = {**headers, "Swiftpin-Not-Executed": "1"}
    return render(f"HTTP/1.1 {status} X", fields)
