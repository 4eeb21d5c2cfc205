"""Tests for complete instances with TLS on every connection."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

from aiohttp import ClientError, ClientSession
import pytest

from tests.gateway.test_app import async_until
from tests.security.certificates import replace_file
from tests.security.secured_world import SecuredWorld
from tests.security.test_store_access import SECRET


@pytest.fixture
async def world(session: ClientSession, tmp_path: Path) -> AsyncIterator[SecuredWorld]:
    """Return two instances that serve requests."""
    running = SecuredWorld(session, tmp_path)
    await running.async_setup()
    await async_until(running.async_is_served)
    yield running
    await running.async_unload()


async def test_requests_pass_every_border(world: SecuredWorld) -> None:
    """Both instances answer; the one without the lease forwards to the other."""
    groups_by_instance = [
        gateway._status.document()["groups_held"] for gateway in world.gateways
    ]
    assert sorted(len(groups) for groups in groups_by_instance) == [0, 1]
    for gateway in world.gateways:
        answer = await world.async_call(gateway, "k2")
        assert answer.status == 200
        assert answer.headers["Swiftpin-Result"] == "100"
    assert all(gateway._membership.counters.received for gateway in world.gateways)
    assert "entry=forward" in world.read_logs()


async def test_large_answers_arrive_whole(world: SecuredWorld) -> None:
    """Answers that exceed a TLS record or a single read arrive complete."""
    for gateway in world.gateways:
        async with world.session.get(
            f"https://{gateway.listeners.callers}/desk/bundle/1000000",
            headers={"Swiftpin-Key": "k1"},
            ssl=world.caller_context,
        ) as answer:
            assert answer.headers["Swiftpin-Result"] == "100"
            assert len(await answer.read()) == 1_000_000


async def test_rotation_goes_unnoticed(world: SecuredWorld) -> None:
    """Guards against instances that need a restart after a rotation.

    The certificates for peers and callers are replaced by those of new CAs, and the
    store's token by another one. Both instances reload their files; requests and
    writes must still succeed.
    """
    world.peer_certificates.change_authority()
    world.caller_certificates.change_authority()
    world.store.token = "another"
    replace_file(world.token_path, b"another")
    for gateway in world.gateways:
        await gateway._security.reloader.async_refresh()
        gateway._serving._peer_client.unload()
    world.caller_context = world.caller_certificates.context_without_certificate()
    await async_until(world.async_is_served)
    await world.gateways[0]._store.async_put("x", b"1")


async def test_strangers_do_not_get_in(world: SecuredWorld) -> None:
    """The ports for instances reject clients without a certificate."""
    for gateway in world.gateways:
        for address in (gateway.listeners.forwards, gateway.settings.peer_listen):
            for url in (f"http://{address}/desk/a", f"https://{address}/desk/a"):
                with pytest.raises(ClientError):
                    await world.session.get(
                        url, ssl=world.peer_certificates.context_without_certificate()
                    )


async def test_log_holds_neither_token_nor_key(world: SecuredWorld) -> None:
    """The complete log contains neither the token nor the key."""
    key_line = world.peer_certificates.key_path.read_text().splitlines()[1]
    replace_file(world.peer_certificates.key_path, b"broken")
    for gateway in world.gateways:
        await gateway._security.reloader.async_refresh()
    log = world.read_logs()
    assert "event=credentials_kept" in log
    assert SECRET not in log
    assert key_line not in log
