"""Base of the stand-ins: an HTTP server with faults and counters."""

from __future__ import annotations

from abc import ABC, abstractmethod
import asyncio
import socket
from ssl import SSLContext
from typing import Any, Final, Generic, TypeVar

from aiohttp.web import (
    BaseRequest,
    RequestHandler,
    Response,
    Server,
    ServerRunner,
    SockSite,
)
from aiohttp.web_response import StreamResponse
import orjson
from pydantic import TypeAdapter, ValidationError

from swiftpin.core import callback, monotonic_now
from swiftpin.helpers.address import Address
from swiftpin.standins.base_faults import BaseFaults
from swiftpin.standins.call_counters import CallCounters

PATH_STANDIN: Final = "/_standin/"
PATH_FAULTS: Final = "/_standin/faults"
PATH_COUNTERS: Final = "/_standin/counters"
ANY_PORT: Final = Address(host="127.0.0.1", port=0)
"""Loopback address with a free port."""
CONTENT_TYPE_JSON: Final = "application/json"
STOP_TIMEOUT: Final = 1.0
"""Seconds that calls in flight may take to finish at a stop."""
BACKLOG: Final = 1024
HANG_POLL: Final = 0.01
"""Seconds between looks at whether a hang was cleared by a changed attribute."""

FaultsT = TypeVar("FaultsT", bound=BaseFaults)


def json_response(
    document: Any,  # noqa: ANN401 - any JSON document
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> Response:
    """Return an answer with a JSON body."""
    return Response(
        body=orjson.dumps(document),
        status=status,
        headers=headers,
        content_type=CONTENT_TYPE_JSON,
    )


class HttpStandin(ABC, Generic[FaultsT]):
    """A small HTTP server that can be told to misbehave.

    `faults` may be changed directly; over HTTP `PUT /_standin/faults` replaces it.
    Paths under `/_standin/` are never hit by faults. A stopped stand-in may be
    started again and keeps its port. With `ssl_context` set before the start it
    answers by TLS only.
    """

    def __init__(self, faults: FaultsT, address: Address) -> None:
        self._faults = faults
        self._faults_adapter = TypeAdapter(type(faults))
        self._address = address
        self._runner: ServerRunner | None = None
        self._server: Server | None = None
        self.counters = CallCounters()
        self.ssl_context: SSLContext | None = None

    @property
    def address(self) -> Address:
        """Return the address, with the chosen port once started."""
        return self._address

    @property
    def url(self) -> str:
        """Return the base URL."""
        scheme = "http" if self.ssl_context is None else "https"
        return f"{scheme}://{self._address}"

    @property
    def faults(self) -> FaultsT:
        """Return the faults in force."""
        return self._faults

    @faults.setter
    def faults(self, faults: FaultsT) -> None:
        self._faults = faults

    async def async_start(self) -> str:
        """Listen and return the base URL; OSError when the port is in use."""
        sock = self._bind()
        self._server = Server(
            self._async_handle, handler_cancellation=True, access_log=None
        )
        runner = ServerRunner(self._server, shutdown_timeout=STOP_TIMEOUT)
        await runner.setup()
        try:
            site = SockSite(runner, sock, backlog=BACKLOG, ssl_context=self.ssl_context)
            await site.start()
        except OSError:
            await runner.cleanup()
            sock.close()
            raise
        self._runner = runner
        return self.url

    async def async_stop(self) -> None:
        """Stop listening, let calls in flight end shortly and close."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        self.clear_faults()
        await runner.cleanup()

    @callback
    def clear_faults(self) -> None:
        """Put every fault back to its default."""
        self.faults = type(self._faults)()

    @abstractmethod
    async def _async_call(self, request: BaseRequest) -> StreamResponse:
        """Carry out one call that is not about the stand-in itself."""

    async def _async_standin_call(self, request: BaseRequest) -> Response:
        """Carry out a call about the stand-in itself."""
        match request.method, request.path:
            case "PUT", path if path == PATH_FAULTS:
                return await self._async_put_faults(request)
            case "GET", path if path == PATH_FAULTS:
                return json_response(self._faults)
            case "GET", path if path == PATH_COUNTERS:
                return json_response(self.counters.as_document(monotonic_now()))
        return json_response({"error": "no such call"}, 404)

    async def _async_put_faults(self, request: BaseRequest) -> Response:
        """Replace the faults in force."""
        try:
            faults = self._faults_adapter.validate_json(await request.read())
        except ValidationError as err:
            return json_response({"error": str(err)}, 400)
        self.faults = faults
        return json_response(faults)

    async def _async_handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one call."""
        if request.path.startswith(PATH_STANDIN):
            return await self._async_standin_call(request)
        await self._async_suffer(request)
        if self._faults.outage:
            return json_response({"error": "outage"}, 503)
        return await self._async_call(request)

    async def _async_suffer(self, request: BaseRequest) -> None:
        """Wait as the faults of every stand-in demand."""
        if self._faults.latency_ms:
            await asyncio.sleep(self._faults.latency_ms / 1000)
        if self._faults.hang:
            await self.async_wait_hang(request)

    async def async_wait_hang(self, request: BaseRequest) -> None:
        """Wait until the fault `hang` is cleared.

        A caller that left does not cancel its call: after a freeze the bytes that
        stood in the socket are read and acted on all the same.
        """
        left = False
        while self._faults.hang:
            try:
                await asyncio.sleep(HANG_POLL)
            except asyncio.CancelledError:
                if left or request.transport is not None:
                    raise
                left = True

    @callback
    def drop(self, request: BaseRequest) -> Response:
        """Drop the call's connection; the answer returned is never sent."""
        if request.transport is not None:
            request.transport.abort()
        return Response()

    @callback
    def cut(self, request: BaseRequest) -> None:
        """Close the call's connection once what was written so far is sent."""
        if request.transport is not None:
            request.transport.close()

    def open_connections(self) -> list[RequestHandler]:
        """Return the open connections."""
        return [] if self._server is None else self._server.connections

    def _bind(self) -> socket.socket:
        """Return a socket bound to the address and note the chosen port."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind((self._address.host, self._address.port))
        except OSError:
            sock.close()
            raise
        self._address = Address(host=self._address.host, port=sock.getsockname()[1])
        return sock
