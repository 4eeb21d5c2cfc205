"""Tests for instances that authenticate each other by certificates."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

from aiohttp import ClientSession
import pytest

from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.core import monotonic_now
from swiftpin.exceptions import PeerError
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.ownership.group_id import GroupId
from swiftpin.security.client_tls import ClientTls
from swiftpin.security.named_file import NamedFile
from swiftpin.security.secured_membership import SecuredMembership
from swiftpin.security.server_tls import ALPN_GRPC, ServerTls
from swiftpin.security.tls_files import TlsFiles
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.listed_instance import ListedInstance
from tests.membership.fake_handler import FakeHandler
from tests.membership.fake_store import FakeStore
from tests.membership.fleet import BY_HAND
from tests.security.certificates import Certificates

GROUP = GroupId(service="desk", group=0)
HEARTBEATS = [GroupHeartbeat(group=GROUP, term=2, revision=7)]


class Pair:
    """A listening instance and the instances that call it."""

    def __init__(self, session: ClientSession, server: ServerTls | None) -> None:
        self.handler = FakeHandler()
        self.handler.accepts = {GROUP}
        self._session = session
        self._platform = InstancesStandin()
        self._address = PortAllocator().allocate()
        self._server = server
        self._members: list[SecuredMembership] = []

    async def async_setup(self) -> None:
        """Register and start the listening instance."""
        await self._platform.async_start()
        self._platform.change(
            ListedInstance(
                name="b",
                zone="z",
                peer=self._address,
                forward=self._address,
                admin=self._address,
            ),
            monotonic_now(),
        )
        member = self._create_member("b", self._address)
        member.set_tls(None, self._server)
        await member.async_setup()

    async def async_try_heartbeat(self, client: ClientTls | None) -> bool:
        """Return whether a heartbeat over a new connection is accepted."""
        member = self._create_member("a", "127.0.0.1:0")
        member.set_tls(client, None)
        await member.directory.async_refresh()
        try:
            reply = await member.clients.async_heartbeat("b", HEARTBEATS)
        except PeerError:
            return False
        return reply.accepted == {GROUP}

    async def async_unload(self) -> None:
        """Stop everything."""
        for member in self._members:
            await member.async_unload()
        await self._platform.async_stop()

    def _create_member(self, name: str, listen: str) -> SecuredMembership:
        """Return an instance."""
        member = SecuredMembership(
            instance_id=f"{name}/a1",
            zone="z",
            store=FakeStore(),
            session=self._session,
            instances_url=self._platform.url,
            peer_listen=listen,
            handler=self.handler,
            list_interval=3600.0,
            peer_timeout=5.0,
            news_settings=BY_HAND,
        )
        self._members.append(member)
        return member


@pytest.fixture
def server(own: Certificates) -> ServerTls:
    """Return the certificates of the listening instance."""
    return ServerTls(own.files, ALPN_GRPC)


@pytest.fixture
async def pair(session: ClientSession, server: ServerTls) -> AsyncIterator[Pair]:
    """Return a running listening instance."""
    running = Pair(session, server)
    await running.async_setup()
    yield running
    await running.async_unload()


async def test_instances_of_one_ca_talk(pair: Pair, own: Certificates) -> None:
    """A peer with a certificate of the CA is accepted."""
    assert await pair.async_try_heartbeat(ClientTls(own.files))


async def test_peer_without_certificate_is_refused(
    pair: Pair, own: Certificates
) -> None:
    """A peer that trusts the CA also needs a certificate of it."""
    assert not await pair.async_try_heartbeat(ClientTls(TlsFiles(ca=own.ca)))
    assert not pair.handler.beats


async def test_peer_without_tls_is_refused(pair: Pair) -> None:
    """The port accepts only TLS connections."""
    assert not await pair.async_try_heartbeat(None)
    assert not pair.handler.beats


async def test_peer_of_another_ca_is_refused(
    pair: Pair, own: Certificates, other: Certificates
) -> None:
    """A peer with a certificate of another CA is rejected."""
    files = TlsFiles(ca=own.ca, cert=other.cert, key=other.key)
    assert not await pair.async_try_heartbeat(ClientTls(files))
    assert not pair.handler.beats


async def test_server_of_another_ca_is_refused(
    pair: Pair, own: Certificates, other: Certificates
) -> None:
    """Nothing is sent to an instance with a certificate of another CA."""
    files = TlsFiles(ca=other.ca, cert=own.cert, key=own.key)
    assert not await pair.async_try_heartbeat(ClientTls(files))


async def test_server_of_another_name_is_refused(
    pair: Pair, own: Certificates, server: ServerTls
) -> None:
    """A certificate of the CA is valid only for the address in it."""
    own.replace("127.0.0.9")
    await server.async_refresh()
    assert not await pair.async_try_heartbeat(ClientTls(own.files))


async def test_new_ca_is_in_force_for_new_connections(
    pair: Pair, own: Certificates, server: ServerTls, tmp_path: Path
) -> None:
    """Guards against instances of a removed CA that can connect until a restart.

    The port keeps its first context; a connection is checked against the new CA only
    if it is switched to the new context.
    """
    old_cert = NamedFile(flag="old", path=tmp_path / "cert.pem")
    old_key = NamedFile(flag="old", path=tmp_path / "key.pem")
    old_cert.path.write_bytes(own.cert_path.read_bytes())
    old_key.path.write_bytes(own.key_path.read_bytes())
    own.change_authority()
    await server.async_refresh()
    assert await pair.async_try_heartbeat(ClientTls(own.files))
    pair.handler.beats.clear()
    files = TlsFiles(ca=own.ca, cert=old_cert, key=old_key)
    assert not await pair.async_try_heartbeat(ClientTls(files))
    assert not pair.handler.beats


async def test_broken_reload_keeps_the_port_open(
    pair: Pair, own: Certificates, server: ServerTls
) -> None:
    """An invalid new file leaves the previous certificates in use."""
    client = ClientTls(own.files)
    own.cert_path.write_text("nonsense")
    await server.async_refresh()
    assert await pair.async_try_heartbeat(client)
