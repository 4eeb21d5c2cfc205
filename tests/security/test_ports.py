"""HTTP ports and connections with TLS."""

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

ANYWHERE = Address(host="127.0.0.1", port=0)


class Whole:
    """A request without a body."""

    whole = b""
    length = 0

    def chunks(self) -> AsyncIterator[bytes]:
        """Never be asked."""
        raise AssertionError


class Port:
    """A port that counts what it lets in."""

    def __init__(self, tls: ServerTls | None) -> None:
        self.served = 0
        self._listener = HttpListener(
            self._async_serve, max_line=8192, max_headers=64, tls=tls
        )
        self.address = ""

    async def async_setup(self) -> None:
        """Listen."""
        self.address = str(await self._listener.async_setup(ANYWHERE))

    async def async_unload(self) -> None:
        """Close."""
        await self._listener.async_unload()

    async def async_call(self, tls: ClientTls | None) -> int:
        """Return the status of an answer over a new connection."""
        client = HttpClient(tls=tls)
        body: HttpBody = Whole()
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
        """Answer."""
        self.served += 1
        return Response(text="ok")


@pytest.fixture
async def mutual(own: Certificates) -> AsyncIterator[Port]:
    """Return a port such as instances forward requests to."""
    port = Port(ServerTls(own.files, ALPN_HTTP))
    await port.async_setup()
    yield port
    await port.async_unload()


async def test_request_with_certificate_is_served(
    mutual: Port, own: Certificates
) -> None:
    """An instance gets in."""
    assert await mutual.async_call(ClientTls(own.files)) == 200


async def test_request_without_certificate_is_refused(
    mutual: Port, own: Certificates, other: Certificates
) -> None:
    """Neither plain HTTP nor TLS without the right certificate gets in."""
    strangers = (
        None,
        ClientTls(TlsFiles(ca=own.ca)),
        ClientTls(TlsFiles(ca=own.ca, cert=other.cert, key=other.key)),
    )
    for stranger in strangers:
        with pytest.raises(ExchangeError):
            await mutual.async_call(stranger)
    assert not mutual.served


async def test_nothing_is_sent_to_a_server_that_is_not_vouched_for(
    mutual: Port, own: Certificates, other: Certificates
) -> None:
    """A request is told as not sent when the server's certificate is wrong."""
    with pytest.raises(RequestNotSentError):
        await mutual.async_call(ClientTls(other.files))


async def test_nothing_is_sent_to_a_server_of_another_name(
    own: Certificates,
) -> None:
    """The certificate must name the host that was asked for."""
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
    """Symptom: callers meet an expired certificate that was replaced long ago."""

    async def async_look() -> None:
        tls = ServerTls(TlsFiles(cert=own.cert, key=own.key), ALPN_HTTP)
        port = Port(tls)
        await port.async_setup()
        before = own.bare_client()
        await _async_shake_hands(port.address, before)
        own.change_authority()
        await tls.async_refresh()
        with pytest.raises(SSLError):
            await _async_shake_hands(port.address, before)
        await _async_shake_hands(port.address, own.bare_client())
        await port.async_unload()

    run(async_look())


async def test_open_connection_outlives_a_reload(own: Certificates) -> None:
    """A request in flight does not suffer from a rotation."""
    tls = ServerTls(TlsFiles(cert=own.cert, key=own.key), ALPN_HTTP)
    port = Port(tls)
    await port.async_setup()
    async with ClientSession() as session:
        context = own.bare_client()
        for _ in range(2):
            async with session.get(f"https://{port.address}/", ssl=context) as answer:
                assert answer.status == 200
            own.change_authority()
            await tls.async_refresh()
    await port.async_unload()


def test_old_protocol_versions_are_refused(own: Certificates) -> None:
    """Nobody talks a connection down to a version that is known to be weak.

    Instances speak 1.3 only, and without tickets: a resumed session shows no
    certificate, so that one of a CA that was taken out would still get in.
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
    """Symptom: callers that never finish a handshake use up all sockets."""
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
    """Nothing changes for who gives no files."""
    port = Port(None)
    await port.async_setup()
    assert await port.async_call(None) == 200
    with pytest.raises(ClientError):
        await session.get(f"https://{port.address}/")
    await port.async_unload()


async def _async_shake_hands(address: str, context: SSLContext) -> None:
    """Open a connection and close it."""
    host, _, port = address.partition(":")
    _, writer = await asyncio.open_connection(host, int(port), ssl=context)
    writer.close()
