"""The platform's balancer for experiments: passes connections to ready instances.

`python -m swiftpin.bench.experiments.stops_balancer --listen HOST:PORT
--admin-listen HOST:PORT --instance HOST:PORT,ADMIN_HOST:PORT ...`
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Sequence
from contextlib import suppress
from http import HTTPStatus
from random import Random
from typing import Final

from aiohttp import ClientSession, web
import uvloop

from swiftpin.bench.experiments.stops_splice import async_splice
from swiftpin.bench.processes.readiness import async_is_ready
from swiftpin.core import callback
from swiftpin.helpers.address import Address, parse_address

POLL_INTERVAL: Final = 0.25
PATH_READY: Final = "/readyz"
SEED: Final = 1


class Balancer:
    """Gives each new connection to a random instance that says it is ready.

    An instance that refuses a connection is left out until it is asked again, and
    the connection goes to another one. Nothing is sent twice: what became of a
    connection afterwards is between the caller and the instance.
    """

    def __init__(
        self, session: ClientSession, admins_by_instance: dict[str, str]
    ) -> None:
        self._session = session
        self._admins_by_instance = admins_by_instance
        self._random = Random(SEED)
        self._tasks: list[asyncio.Task[None]] = []
        self.ready: set[str] = set()

    async def async_setup(self) -> None:
        """Begin to ask the instances whether they are ready."""
        self._tasks = [
            asyncio.create_task(self._async_ask(instance, admin))
            for instance, admin in self._admins_by_instance.items()
        ]

    async def async_unload(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one caller's connection to an instance."""
        candidates = sorted(self.ready)
        self._random.shuffle(candidates)
        for instance in candidates:
            address = parse_address(instance)
            try:
                outgoing = await asyncio.open_connection(address.host, address.port)
            except OSError:
                self.ready.discard(instance)
                continue
            await async_splice((reader, writer), outgoing)
            return
        writer.transport.abort()

    async def async_handle_ready(self, _request: web.Request) -> web.Response:
        """Answer whether there is an instance to pass connections to."""
        status = HTTPStatus.OK if self.ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=status)

    async def _async_ask(self, instance: str, admin: str) -> None:
        """Ask one instance again and again."""
        while True:
            if await async_is_ready(self._session, f"http://{admin}{PATH_READY}"):
                self.ready.add(instance)
            else:
                self.ready.discard(instance)
            await asyncio.sleep(POLL_INTERVAL)


async def async_run(listen: Address, admin: Address, instances: Sequence[str]) -> None:
    """Balance until cancelled."""
    async with ClientSession() as session:
        balancer = Balancer(session, dict(map(_pair, instances)))
        app = web.Application()
        app.router.add_get(PATH_READY, balancer.async_handle_ready)
        runner = web.AppRunner(app, access_log=None)
        await balancer.async_setup()
        await runner.setup()
        try:
            await web.TCPSite(runner, admin.host, admin.port).start()
            server = await asyncio.start_server(
                balancer.async_serve, listen.host, listen.port, backlog=1024
            )
            async with server:
                await server.serve_forever()
        finally:
            await runner.cleanup()
            await balancer.async_unload()


@callback
def _pair(text: str) -> tuple[str, str]:
    """Return the two addresses in an argument."""
    listen, _, admin = text.partition(",")
    return listen, admin


def main() -> None:
    """Run the balancer until it is signalled."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, type=parse_address)
    parser.add_argument("--admin-listen", required=True, type=parse_address)
    parser.add_argument("--instance", required=True, action="append")
    arguments = parser.parse_args()
    with suppress(KeyboardInterrupt):
        uvloop.run(
            async_run(arguments.listen, arguments.admin_listen, arguments.instance)
        )


if __name__ == "__main__":
    main()
