"""Tests of what a target's answers to control calls are taken for."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import cast

from aiohttp.web import Application, AppRunner, Request, Response, TCPSite
import pytest

from swiftpin.core import monotonic_now
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.exceptions import RequestNotSentError, TargetUnreachableError
from swiftpin.platform.names import HEADER_HANDOVER, HEADER_INSTANCE
from swiftpin.platform.target_control import (
    GrantCall,
    KeyGrant,
    TargetControl,
    TargetNotReachedError,
    TargetReplacedError,
    UnexpectedAnswerError,
)

GRANT = KeyGrant(first=0, last=9, fence=1)


@dataclass(frozen=True, kw_only=True)
class FixedClient:
    """Gives one answer to every call; it is its own answer."""

    status: int
    headers: Mapping[str, str]

    async def async_connection(self, address: str, **rest: object) -> FixedClient:
        """Return what stands for a connection."""
        return self

    async def async_exchange_over(self, *args: object) -> FixedClient:
        """Return the answer."""
        return self

    async def async_read_whole(self) -> bytes:
        """Return an empty body."""
        return b""

    def finish(self, now: float) -> None:
        """Give nothing back."""


def make_control(status: int, instance: str) -> TargetControl:
    """Return a control that gets one answer."""
    client = FixedClient(status=status, headers={HEADER_INSTANCE: instance})
    return TargetControl(cast(HttpClient, client), lambda now: None)


@pytest.mark.parametrize("status", [200, 421, 400])
async def test_another_id_shows_that_the_target_is_gone(status: int) -> None:
    """Whoever else answers at the address has it."""
    with pytest.raises(TargetReplacedError):
        await make_control(status, "b").async_release("a:1", "a", GRANT, limit=1.0)


async def test_refusal_by_the_target_itself_shows_no_end() -> None:
    """Symptom: keys could be granted on while their holder was there.

    Sequence: the target itself answered a release with 421. Cause: the status alone
    counted as another target's answer, so its grants were not waited for.
    """
    with pytest.raises(UnexpectedAnswerError):
        await make_control(421, "a").async_release("a:1", "a", GRANT, limit=1.0)


class Listener:
    """A target on a port that notes the fences of grants."""

    def __init__(self) -> None:
        self.fences: list[int] = []
        self.grant_peers: list[object] = []
        self.release_peers: list[object] = []
        self.address = "127.0.0.1:0"
        self.loses_answers = False
        self._runner: AppRunner | None = None

    async def async_setup(self) -> None:
        """Listen at the address, or at a new one the first time."""
        app = Application()
        app.router.add_post("/api/grant", self._async_grant)
        app.router.add_post("/api/release", self._async_release)
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        port = int(self.address.rpartition(":")[2])
        await TCPSite(self._runner, "127.0.0.1", port).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def async_unload(self) -> None:
        """Stop, and break all connections."""
        assert self._runner is not None
        await self._runner.cleanup()

    async def _async_grant(self, request: Request) -> Response:
        self.fences.append((await request.json())["fence"])
        self.grant_peers.append(request.get_extra_info("peername"))
        if self.loses_answers:
            assert request.transport is not None
            request.transport.abort()
        return Response()

    async def _async_release(self, request: Request) -> Response:
        self.release_peers.append(request.get_extra_info("peername"))
        return Response(headers={HEADER_HANDOVER: "h"})


class Connections:
    """Makes grants whose fence is the number of their connection."""

    def __init__(self) -> None:
        self.used: list[int] = []

    def call(self, preferred: int | None = None) -> GrantCall:
        """Return a grant."""
        return GrantCall(
            first=0,
            last=9,
            hold=4.4,
            handover=None,
            fence_over=self._fence_over,
            preferred_connection=preferred,
        )

    def _fence_over(self, connection: int) -> int:
        self.used.append(connection)
        return connection


async def test_restart_is_seen_as_another_connection() -> None:
    """Symptom: a target took keys under a fence that its earlier life had.

    Sequence: a target started again at its address between two renewals.
    Cause: the fence was chosen before it was known over what connection it would go.
    """
    listener, connections = Listener(), Connections()
    await listener.async_setup()
    client = HttpClient()
    control = TargetControl(client, lambda now: None)
    for _ in range(2):
        await control.async_grant(listener.address, "a", connections.call(), limit=2.0)
    await listener.async_unload()
    await listener.async_setup()
    await control.async_grant(
        listener.address, "a", connections.call(connections.used[0]), limit=2.0
    )
    first, second, third = connections.used
    assert first == second != third
    assert listener.fences == connections.used
    client.unload()
    await listener.async_unload()


async def test_grant_prefers_its_own_connection() -> None:
    """Symptom: fences were spent by the thousand while keys moved.

    Sequence: a release and renewals shared a target's connections; each renewal met
    another connection than the last one, and so took a new fence.
    Cause: whichever connection had been used last was taken.
    """
    listener, connections = Listener(), Connections()
    await listener.async_setup()
    client = HttpClient()
    control = TargetControl(client, lambda now: None)
    await control.async_grant(listener.address, "a", connections.call(), limit=2.0)
    first_connection = await client.async_connection(listener.address)
    await control.async_grant(listener.address, "a", connections.call(), limit=2.0)
    first, second = connections.used
    assert first == first_connection.number != second
    # Both lie idle now, and the first one was used last.
    first_connection.release(monotonic_now())
    await control.async_grant(
        listener.address, "a", connections.call(second), limit=2.0
    )
    assert connections.used[-1] == second
    client.unload()
    await listener.async_unload()


async def test_release_leaves_the_grants_connection_free() -> None:
    """Symptom: fences were spent by the thousand while keys moved.

    Sequence: a release waited for running work; the renewals meanwhile went over
    another connection, under new fences. Cause: it took the connection of the grants.
    """
    listener, connections = Listener(), Connections()
    await listener.async_setup()
    client = HttpClient()
    control = TargetControl(client, lambda now: None)
    for _ in range(2):
        await control.async_grant(listener.address, "a", connections.call(), limit=2.0)
        await control.async_release(
            listener.address,
            "a",
            GRANT,
            avoided_connection=connections.used[-1],
            limit=2.0,
        )
        # Both connections lie idle now, that of the release was used last.
        await control.async_grant(
            listener.address, "a", connections.call(connections.used[0]), limit=2.0
        )
    assert len(set(connections.used)) == 1
    assert len(set(listener.release_peers)) == 1
    assert listener.release_peers[0] not in listener.grant_peers
    client.unload()
    await listener.async_unload()


async def test_unanswered_grant_breaks_its_connection() -> None:
    """The next try goes over another connection, and so under another fence."""
    listener, connections = Listener(), Connections()
    await listener.async_setup()
    listener.loses_answers = True
    client = HttpClient()
    control = TargetControl(client, lambda now: None)
    for _ in range(2):
        with pytest.raises(TargetUnreachableError):
            await control.async_grant(
                listener.address,
                "a",
                connections.call(connections.used[-1] if connections.used else None),
                limit=2.0,
            )
    assert len(set(listener.fences)) == 2
    client.unload()
    await listener.async_unload()


async def test_closed_gate_sends_no_grant() -> None:
    """Whoever lost the lease while it connected grants nothing."""
    listener, connections = Listener(), Connections()
    await listener.async_setup()

    def refuse(now: float) -> None:
        raise RequestNotSentError("the lease has ended")

    client = HttpClient()
    control = TargetControl(client, refuse)
    with pytest.raises(TargetNotReachedError):
        await control.async_grant(listener.address, "a", connections.call(), limit=2.0)
    assert not listener.fences
    client.unload()
    await listener.async_unload()
