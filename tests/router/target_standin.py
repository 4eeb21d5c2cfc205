"""Stand-in for a target that accepts grants of key ranges."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    StreamResponse,
    TCPSite,
    json_response,
)


@dataclass(kw_only=True)
class HeldRange:
    """Granted key range; `until` is on the event loop's clock."""

    first: int
    last: int
    fence: int
    until: float


class TargetStandin:
    """Runs requests for the keys that it holds, and records which it ran."""

    def __init__(self, name: str, *, is_keyed: bool = True) -> None:
        self.name = name
        self.is_keyed = is_keyed
        self.zone = "z1"
        self.cold_ms = 0
        self.address = ""
        self.work = 0.005
        self.runs: list[str] = []
        self.deadlines: list[int] = []
        self.held: list[HeldRange] = []
        self.grant_answers_to_lose = 0
        self.release_answers_to_lose = 0
        self.answers_to_break = 0
        self.requests_to_refuse = 0
        self.rate_limit: float | None = None
        """Requests per second named in answers, which the target doesn't enforce."""

        self.arrivals: list[float] = []
        """Event loop times at which requests for its keys arrived."""

        self.crash_task: asyncio.Task[None] | None = None
        self.born: int | None = None
        self.earlier_fences: list[tuple[int, int, int]] = []
        self.running = 0
        self.max_running = 0
        self.granted_fences: list[tuple[int, int, int]] = []
        """First key, last key and fence of each grant of this life."""

        self._highest_fences: list[tuple[int, int, int]] = []
        self._runner: AppRunner | None = None

    async def async_setup(self, port: int = 0) -> None:
        """Listen on a port, by default any free one."""
        app = Application()
        app.on_response_prepare.append(self.async_prepare_answer)
        app.router.add_post("/api/grant", self._async_grant)
        app.router.add_post("/api/release", self._async_release)
        app.router.add_get("/health", self._async_health)
        app.router.add_route("*", "/{path:.*}", self._async_work)
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await TCPSite(self._runner, "127.0.0.1", port).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def async_prepare_answer(
        self, request: Request, response: StreamResponse
    ) -> None:
        """Change the head of an answer before it is sent."""

    async def async_unload(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def async_restart(self, born: int | None = None) -> None:
        """Stop, and restart with the same name and address.

        The new life holds no keys and knows no fences. The grants of earlier lives are
        kept in `earlier_fences`, as first key, last key and fence.
        """
        port = int(self.address.rpartition(":")[2])
        await self.async_unload()
        self.earlier_fences += self.granted_fences
        self.granted_fences = []
        self._highest_fences = []
        self.held = []
        self.born = born
        await self.async_setup(port)

    def reused_fences(self) -> list[tuple[int, int, int]]:
        """Return grants of this life with a fence not above those of earlier lives."""
        return [
            (first, last, fence)
            for first, last, fence in self.granted_fences
            if any(
                low <= last and first <= high and fence <= earlier_fence
                for low, high, earlier_fence in self.earlier_fences
            )
        ]

    async def async_end(self, request: Request) -> None:
        """End as a target does that crashes under a request."""
        assert request.transport is not None
        request.transport.abort()
        self.crash()

    def crash(self) -> None:
        """Simulate a crash: close all connections without notice."""
        loop = asyncio.get_running_loop()
        self.crash_task = loop.create_task(self.async_unload())

    def entry(self, service: str, *, state: str = "ready") -> dict[str, Any]:
        """Return the target's store entry."""
        born = {} if self.born is None else {"born": self.born}
        return {
            **born,
            "address": self.address,
            "information": {
                "service": service,
                "version": "v1",
                "zone": self.zone,
                "slots": 2,
            },
            "status": {"state": state, "sequence": 1, "cold_ms": self.cold_ms},
        }

    def holds(self, key: int) -> bool:
        """Return whether the target holds a key now."""
        now = asyncio.get_running_loop().time()
        return any(
            held.first <= key <= held.last and now < held.until for held in self.held
        )

    def _reject_if_other_target(self, request: Request) -> Response | None:
        expected = request.headers.get("Swiftpin-Expected-Instance", self.name)
        if expected == self.name:
            return None
        return Response(status=421, headers={"Swiftpin-Instance-Id": self.name})

    async def _async_health(self, request: Request) -> Response:
        return Response(headers={"Swiftpin-Instance-Id": self.name})

    async def _async_grant(self, request: Request) -> Response:
        if (rejection := self._reject_if_other_target(request)) is not None:
            return rejection
        if not self.is_keyed:
            return Response(status=400)
        body = await request.json()
        first, last, fence = body["from"], body["to"], body["fence"]
        if any(
            low <= last and first <= high and fence < highest_fence
            for low, high, highest_fence in self._highest_fences
        ):
            return Response(status=409)
        self._highest_fences.append((first, last, fence))
        self.granted_fences.append((first, last, fence))
        self._remove_keys(first, last)
        until = asyncio.get_running_loop().time() + body["hold_ms"] / 1000
        self.held.append(HeldRange(first=first, last=last, fence=fence, until=until))
        if self.grant_answers_to_lose:
            self.grant_answers_to_lose -= 1
            assert request.transport is not None
            request.transport.abort()
        return json_response({})

    async def _async_release(self, request: Request) -> Response:
        if (rejection := self._reject_if_other_target(request)) is not None:
            return rejection
        if not self.is_keyed:
            return Response(status=400)
        body = await request.json()
        self._highest_fences.append((body["from"], body["to"], body["fence"]))
        held = self.holds(body["from"])
        self._remove_keys(body["from"], body["to"])
        if self.release_answers_to_lose:
            self.release_answers_to_lose -= 1
            assert request.transport is not None
            request.transport.abort()
        while held and self.running:  # noqa: ASYNC110  # polling is enough in a test
            await asyncio.sleep(0.005)
        return Response(headers={"Swiftpin-Handover": f"from-{self.name}"})

    def _remove_keys(self, first: int, last: int) -> None:
        kept = []
        for held in self.held:
            for low, high in (
                (held.first, min(held.last, first - 1)),
                (max(held.first, last + 1), held.last),
            ):
                if low <= high:
                    kept.append(
                        HeldRange(
                            first=low, last=high, fence=held.fence, until=held.until
                        )
                    )
        self.held = kept

    async def _async_work(self, request: Request) -> Response:
        if (rejection := self._reject_if_other_target(request)) is not None:
            return rejection
        key = request.headers.get("Swiftpin-Shard-Key")
        not_run = {"Swiftpin-Not-Executed": "1", "Swiftpin-Instance-Id": self.name}
        if self.is_keyed and (key is None or not self.holds(int(key))):
            return Response(status=421, headers=not_run)
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.requests_to_refuse:
            self.requests_to_refuse -= 1
            return Response(status=503, headers=not_run)
        body = await request.read()
        request_id = request.headers["Swiftpin-Request-Id"]
        self.runs.append(request_id)
        if request.path.endswith("/poison"):
            await self.async_end(request)
        self.deadlines.append(int(request.headers["Swiftpin-Deadline-Milliseconds"]))
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        if self.answers_to_break:
            self.answers_to_break -= 1
            assert request.transport is not None
            request.transport.abort()
        return Response(
            body=b"%s:%s" % (request_id.encode(), body),
            headers={
                "Swiftpin-Request-Id": request_id,
                "Swiftpin-Upstream-Signature": f"signed-{request_id}",
                "Swiftpin-Upstream-Load": "1,0,2",
                **self._rate_limit_header(),
            },
        )

    def _rate_limit_header(self) -> dict[str, str]:
        """Return the header that names the rate limit, if there is one."""
        return {} if self.rate_limit is None else {"Server-Limit": str(self.rate_limit)}
