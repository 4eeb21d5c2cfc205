"""Stand-in for an instance's admin address."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestServer

from swiftpin.standins.instance_state import InstanceState
from swiftpin.standins.listed_instance import ListedInstance


@dataclass(kw_only=True)
class FakeInstance:
    """Answers with what the test sets; `explains` None answers 404 and no JSON."""

    name: str
    zone: str = "a"
    ready: bool = True
    leaving: bool = False
    generations: dict[str, int] = field(default_factory=dict)
    groups_held: list[dict[str, Any]] = field(default_factory=list)
    explains: dict[str, Any] | None = None
    explain_status: int = 200
    garbage: bool = False
    server: TestServer | None = None

    @property
    def id(self) -> str:
        """Return the instance id."""
        return f"{self.name}/1f"

    async def async_start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get("/v1/status", self._async_status)
        app.router.add_get("/v1/explain", self._async_explain)
        self.server = TestServer(app)
        await self.server.start_server()

    async def async_stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            await self.server.close()

    def listed(self, state: InstanceState = InstanceState.LIVE) -> ListedInstance:
        """Return the entry in the instance list."""
        assert self.server is not None
        return ListedInstance(
            name=self.name,
            zone=self.zone,
            state=state,
            peer="127.0.0.1:1",
            forward="127.0.0.1:1",
            admin=f"127.0.0.1:{self.server.port}",
        )

    async def _async_status(self, _: web.Request) -> web.Response:
        """Answer `GET /v1/status`."""
        if self.garbage:
            return web.Response(text="{}")
        return web.json_response(
            {
                "instance": self.id,
                "zone": self.zone,
                "ready": self.ready,
                "leaving": self.leaving,
                "generations": self.generations,
                "groups_held": self.groups_held,
            }
        )

    async def _async_explain(self, request: web.Request) -> web.Response:
        """Answer `GET /v1/explain`."""
        if self.explains is None:
            raise web.HTTPNotFound
        return web.json_response(
            {**request.query, **self.explains}, status=self.explain_status
        )
