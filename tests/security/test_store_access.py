"""Tests for the authentication of instances and operators to the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

from aiohttp import ClientSession
from aiohttp.web import BaseRequest, Response
from aiohttp.web_response import StreamResponse
import pytest

from swiftpin.exceptions import StoreUnavailableError
from swiftpin.security.store_access import StoreAccess
from swiftpin.security.store_files import load_store_access
from swiftpin.security.tls_context import server_context
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.store.client import StoreClient
from tests.security.certificates import Certificates, replace_file

SECRET = "s3cret-token"


class GuardedStore(StoreStandin):
    """Store that accepts only calls with its token."""

    def __init__(self) -> None:
        super().__init__()
        self.token = SECRET

    async def _async_call(self, request: BaseRequest) -> StreamResponse:
        """Reject calls without the token."""
        if request.headers.get("Authorization") != f"Bearer {self.token}":
            return Response(status=401)
        return await super()._async_call(request)


@pytest.fixture
async def store() -> AsyncIterator[GuardedStore]:
    """Return a running store that requires a token."""
    running = GuardedStore()
    await running.async_start()
    yield running
    await running.async_stop()


@pytest.fixture
def token_path(tmp_path: Path) -> Path:
    """Return a file with the token."""
    path = tmp_path / "token"
    path.write_text(f"{SECRET}\n")
    return path


def token_access(path: Path) -> StoreAccess:
    """Return access with a token and without TLS."""
    return load_store_access(ca=None, cert=None, key=None, token=path)


async def test_each_call_carries_the_token(
    store: GuardedStore, session: ClientSession, token_path: Path
) -> None:
    """Reads, writes, lists, watches and deletes all send the token."""
    client = StoreClient(session, store.url, access=token_access(token_path))
    version = await client.async_put("a", b"1")
    assert await client.async_put("a", b"2", expect=version) > version
    assert await client.async_get("a") is not None
    assert (await client.async_list("a")).objects_by_name
    assert await client.async_watch("a", 0, 0.0) is not None
    await client.async_delete("a")


async def test_replaced_token_is_sent(
    store: GuardedStore, session: ClientSession, token_path: Path
) -> None:
    """A replaced token is sent without a restart."""
    access = token_access(token_path)
    client = StoreClient(session, store.url, access=access)
    store.token = "another"
    with pytest.raises(StoreUnavailableError, match="401"):
        await client.async_get("a")
    replace_file(token_path, b"another")
    assert access.token is not None
    await access.token.async_refresh()
    assert await client.async_get("a") is None


async def test_store_is_called_without_a_token_unless_told(
    store: GuardedStore, session: ClientSession
) -> None:
    """No token is sent by default."""
    with pytest.raises(StoreUnavailableError, match="401"):
        await StoreClient(session, store.url).async_get("a")


@pytest.mark.parametrize(
    "answer",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        b"HTTP/1.1 302 Found\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n",
    ],
)
async def test_errors_do_not_repeat_the_token(
    session: ClientSession, token_path: Path, answer: bytes
) -> None:
    """Guards against tokens in the log.

    The store's answer is invalid HTTP or an endless redirect; aiohttp describes such
    errors with all headers of the request.
    """

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(answer)

    server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = StoreClient(
        session, f"http://{host}:{port}", access=token_access(token_path), timeout=5.0
    )
    with pytest.raises(StoreUnavailableError) as info:
        await client.async_get("a")
    assert SECRET not in str(info.value)
    assert SECRET not in repr(info.value)
    server.close()


async def test_store_of_another_ca_gets_no_call(
    session: ClientSession, own: Certificates, other: Certificates
) -> None:
    """A write to a store with a certificate of another CA fails without effect."""
    standin = StoreStandin()
    standin.ssl_context = server_context(own.files, "http/1.1")
    await standin.async_start()
    for certificates in (own, other):
        access = load_store_access(
            ca=certificates.ca_path,
            cert=own.cert_path,
            key=own.key_path,
            token=None,
        )
        client = StoreClient(session, standin.url, access=access)
        if certificates is own:
            await client.async_put("a", b"1")
            continue
        with pytest.raises(StoreUnavailableError):
            await client.async_put("a", b"2")
    await standin.async_stop()


async def test_store_may_demand_a_certificate(
    session: ClientSession, own: Certificates
) -> None:
    """A store that requires a client certificate rejects calls without one."""
    standin = StoreStandin()
    standin.ssl_context = server_context(own.files, "http/1.1")
    await standin.async_start()
    access = load_store_access(ca=own.ca_path, cert=None, key=None, token=None)
    with pytest.raises(StoreUnavailableError):
        await StoreClient(session, standin.url, access=access).async_get("a")
    await standin.async_stop()
