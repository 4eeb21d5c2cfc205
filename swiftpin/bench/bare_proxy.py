"""The least that passes requests through: the yardstick for the gateway's cost.

`python -m swiftpin.bench.bare_proxy --listen HOST:PORT --target HOST:PORT ...`
"""

from __future__ import annotations

import argparse
from itertools import cycle

from aiohttp import ClientSession, DummyCookieJar, web
import uvloop


async def async_make_app(targets: list[str]) -> web.Application:
    """Return an application that passes each request to the next target."""
    session = ClientSession(cookie_jar=DummyCookieJar(), auto_decompress=False)
    next_target = cycle(targets)

    async def async_pass(request: web.Request) -> web.Response:
        url = f"http://{next(next_target)}{request.path_qs}"
        body = await request.read()
        async with session.request(
            request.method, url, headers=request.headers, data=body or None
        ) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    async def async_healthz(_request: web.Request) -> web.Response:
        return web.Response()

    async def async_close(_app: web.Application) -> None:
        await session.close()

    app = web.Application()
    app.router.add_get("/healthz", async_healthz)
    app.router.add_route("*", "/{path:.*}", async_pass)
    app.on_cleanup.append(async_close)
    return app


def main() -> None:
    """Run the proxy until it is signalled."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", action="append", required=True)
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    uvloop.install()
    web.run_app(
        async_make_app(arguments.target),
        host=host,
        port=int(port),
        access_log=None,
        print=None,
    )


if __name__ == "__main__":
    main()
