"""Tests for HTTP ports and connections with TLS."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from ssl import SSLContext, SSLError, TLSVersion

from aiohttp import ClientError, ClientSession
from aiohttp.web import BaseRequest, Response
from multidict import CIMultiDict
import pytest
import uvloop

from swiftpin.core import monotonic_now
from swiftpin.dispatch.http_body import HttpBody
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import ExchangeError, RequestNotSentError
from swiftpin.gateway import http_listener
from swiftpin.gateway.http_listener import HttpListener
from swiftpin.helpers.address import Address
from swiftpin.security.client_tls import ClientTls
from swiftpin.security.server_tls import ALPN_HTTP, ServerTls
from swiftpin.security.tls_context import client_context, server_context
from swiftpin.security.tls_files import TlsFiles
from tests.security.certificates import Certificates

ANY_PORT = Address(host="127.0.0.1", port=0)


class EmptyBody:
    """A request without a body."""

    whole = b""
    length = 0

    def chunks(self) -> AsyncIterator[bytes]:
        """Fail, since a request without a body has no chunks."""
        raise AssertionError


class Port:
    """A port that counts the requests that it serves."""

    def __init__(self, tls: ServerTls | None) -> None:
        self.served = 0
        self._listener = HttpListener(
            self._async_serve, max_line=8192, max_headers=64, tls=tls
        )
        self.address = ""

    async def async_setup(self) -> None:
        """Start listening."""
        self.address = str(await self._listener.async_setup(ANY_PORT))

    async def async_unload(self) -> None:
        """Close the port."""
        await self._listener.async_unload()

    async def async_call(self, tls: ClientTls | None) -> int:
        """Return the status of an answer over a new connection."""
        client = HttpClient(tls=tls)
        body: HttpBody = EmptyBody()
        request = HttpRequest(
            method="GET", path="/", headers=CIMultiDict(Host="h"), body=body
        )
        try:
            answer = await client.async_exchange(
                self.address, request, HttpSendState(), lambda now: None
            )
            answer.finish(monotonic_now())
            return answer.status
        finally:
            client.unload()

    async def _async_serve(self, request: BaseRequest) -> Response:
        """Count and answer a request."""
        self.served += 1
        return Response(text="ok")


@pytest.fixture
async def mutual_tls_port(own: Certificates) -> AsyncIterator[Port]:
    """Return a port for forwards, which requires client certificates."""
    port = Port(ServerTls(own.files, ALPN_HTTP))
    await port.async_setup()
    yield port
    await port.async_unload()


async def test_request_with_certificate_is_served(
    mutual_tls_port: Port, own: Certificates
) -> None:
    """A request with a certificate of the CA is served."""
    assert await mutual_tls_port.async_call(ClientTls(own.files)) == 200


async def test_request_without_certificate_is_refused(
    mutual_tls_port: Port, own: Certificates, other: Certificates
) -> None:
    """Plain HTTP and TLS without a trusted certificate are rejected."""
    untrusted_clients = (
        None,
        ClientTls(TlsFiles(ca=own.ca)),
        ClientTls(TlsFiles(ca=own.ca, cert=other.cert, key=other.key)),
    )
    for untrusted_client in untrusted_clients:
        with pytest.raises(ExchangeError):
            await mutual_tls_port.async_call(untrusted_client)
    assert not mutual_tls_port.served


async def test_nothing_is_sent_to_a_server_that_is_not_vouched_for(
    mutual_tls_port: Port, own: Certificates, other: Certificates
) -> None:
    """A request to a server with an untrusted certificate is reported as not sent."""
    with pytest.raises(RequestNotSentError):
        await mutual_tls_port.async_call(ClientTls(other.files))


async def test_nothing_is_sent_to_a_server_of_another_name(
    own: Certificates,
) -> None:
    """The certificate must match the requested host."""
    own.replace("127.0.0.9")
    port = Port(ServerTls(TlsFiles(cert=own.cert, key=own.key), ALPN_HTTP))
    await port.async_setup()
    with pytest.raises(RequestNotSentError):
        await port.async_call(ClientTls(TlsFiles(ca=own.ca)))
    await port.async_unload()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_callers_see_the_new_certificate(
    own: Certificates, run: Callable[..., None]
) -> None:
    """Guards against a replaced certificate that is still presented to callers."""

    async def async_check() -> None:
        tls = ServerTls(TlsFiles(cert=own.cert, key=own.key), ALPN_HTTP)
        port = Port(tls)
        await port.async_setup()
        old_context = own.context_without_certificate()
        await _async_open_connection(port.address, old_context)
        own.change_authority()
        await tls.async_refresh()
        with pytest.raises(SSLError):
            await _async_open_connection(port.address, old_context)
        await _async_open_connection(port.address, own.context_without_certificate())
        await port.async_unload()

    run(async_check())


async def test_open_connection_outlives_a_reload(own: Certificates) -> None:
    """An open connection keeps working while certificates are replaced."""
    tls = ServerTls(TlsFiles(cert=own.cert, key=own.key), ALPN_HTTP)
    port = Port(tls)
    await port.async_setup()
    async with ClientSession() as session:
        context = own.context_without_certificate()
        for _ in range(2):
            async with session.get(f"https://{port.address}/", ssl=context) as answer:
                assert answer.status == 200
            own.change_authority()
            await tls.async_refresh()
    await port.async_unload()


def test_old_protocol_versions_are_refused(own: Certificates) -> None:
    """Guards against downgrades to a TLS version that is known to be weak.

    Between instances only 1.3 without session tickets is allowed: a resumed session
    presents no certificate, so an instance of a removed CA could still connect.
    """
    callers = server_context(TlsFiles(cert=own.cert, key=own.key), ALPN_HTTP)
    peers = server_context(own.files, ALPN_HTTP)
    assert callers.minimum_version == TLSVersion.TLSv1_2
    assert client_context(own.files).minimum_version == TLSVersion.TLSv1_2
    assert peers.minimum_version == TLSVersion.TLSv1_3
    assert peers.num_tickets == 0


async def test_silent_handshake_is_cut_off(
    own: Certificates, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers that exhaust sockets by never finishing a handshake."""
    monkeypatch.setattr(http_listener, "HANDSHAKE_TIMEOUT", 0.05)
    port = Port(ServerTls(TlsFiles(cert=own.cert, key=own.key), ALPN_HTTP))
    await port.async_setup()
    host, _, number = port.address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(number))
    writer.write(b"\x16")
    assert await asyncio.wait_for(reader.read(), 10) == b""
    writer.close()
    await port.async_unload()


async def test_without_files_ports_speak_plain_http(session: ClientSession) -> None:
    """Without certificate files the port serves plain HTTP only."""
    port = Port(None)
    await port.async_setup()
    assert await port.async_call(None) == 200
    with pytest.raises(ClientError):
        await session.get(f"https://{port.address}/")
    await port.async_unload()


async def _async_open_connection(address: str, context: SSLContext) -> None:
    """Open a TLS connection and close it."""
    host, _, port = address.partition(":")
    _, writer = await asyncio.open_connection(host, int(port), ssl=context)
    writer.close()
