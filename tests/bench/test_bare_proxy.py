"""Tests of the yardstick proxy."""

from __future__ import annotations

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from swiftpin.bench.bare_proxy import async_make_app


async def async_echo(request: web.Request) -> web.Response:
    """Answer with the path, a header and the body."""
    body = await request.text()
    return web.Response(text=f"{request.path_qs} {request.headers['X-Key']} {body}")


async def test_request_reaches_target_whole() -> None:
    """Path, headers and body arrive at the target, its answer at the caller."""
    target = web.Application()
    target.router.add_post("/{path:.*}", async_echo)
    async with TestServer(target, host="127.0.0.1") as server:
        app = await async_make_app([f"127.0.0.1:{server.port}"])
        async with TestClient(TestServer(app)) as client:
            answer = await client.post("/a/b?c=1", data="d", headers={"X-Key": "k"})
            assert await answer.text() == "/a/b?c=1 k d"
