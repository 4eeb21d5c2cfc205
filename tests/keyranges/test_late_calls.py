"""Tests of calls to targets that take effect or are answered late."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.exceptions import (
    TargetUnreachableError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.const import MIN_REGULAR_HOLD
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.granter import Granter
from swiftpin.keyranges.mover import Mover
from swiftpin.keyranges.segment import Segment
from swiftpin.keyranges.target_sessions import TargetSessions
from swiftpin.model.key_grant import GrantCall, KeyGrant
from swiftpin.platform.target_control import TargetControl
from tests.keyranges.targets import make_target


@pytest.fixture(name="directory")
def directory_fixture() -> TargetDirectory:
    """Return a directory of two targets."""
    directory = TargetDirectory(StoreHealth(), 2.0)
    for name in ("a", "b"):
        directory.targets_by_id[name] = make_target(name)
    return directory


class ReleaseControl:
    """Loses the answers of the first releases, then answers."""

    def __init__(self, lost_answer_count: int) -> None:
        self.releases_at: list[float] = []
        self._lost_answer_count = lost_answer_count

    async def async_release(
        self, address: str, target_id: str, grant: KeyGrant, **rest: object
    ) -> str:
        """Record a release; answer it unless its answer is to be lost."""
        self.releases_at.append(suspend_aware_now())
        if len(self.releases_at) <= self._lost_answer_count:
            raise TargetUnreachableError("lost")
        return "handover"


def make_mover(
    control: ReleaseControl, directory: TargetDirectory, max_request_time: float
) -> tuple[Mover, TargetSessions]:
    """Return a mover and its sessions."""
    sessions = TargetSessions(directory)
    granter = Granter(
        control=cast(TargetControl, control),
        sessions=sessions,
        directory=directory,
        health_path="/health",
        regular_hold=lambda: MIN_REGULAR_HOLD,
        fences=Fences(),
        term=1,
    )
    mover = Mover(
        granter=granter,
        sessions=sessions,
        directory=directory,
        max_request_time=lambda: max_request_time,
    )
    return mover, sessions


async def test_wait_for_requests_starts_at_the_last_unanswered_release(
    directory: TargetDirectory,
) -> None:
    """Guards against granting a key while its former owner still serves requests.

    The first release is lost, the second one takes effect but its answer is lost, and
    the third one is answered immediately. Requests that arrived between the first two
    may still run, so the wait must be counted from the last unanswered release.
    """
    control = ReleaseControl(lost_answer_count=2)
    mover, sessions = make_mover(control, directory, 0.4)
    sessions.get_or_create("a").note_grant(suspend_aware_now(), MIN_REGULAR_HOLD)
    segment = Segment(first=0, last=9, owner="b", fence=7, former_owner="a")
    assert await mover.async_release_former_owner(segment, None) == "handover"
    assert suspend_aware_now() >= control.releases_at[1] + 0.4


async def test_keys_of_an_earlier_life_are_released_by_the_later_one() -> None:
    """Guards against two targets that hold the same keys after a restart.

    A renewal for a target's earlier life may have been accepted by its new life. Once
    the new life's entry is known, the keys must be released there before they are
    granted to another target.
    """
    directory = TargetDirectory(StoreHealth(), 2.0)
    former_life = make_target("a", started_ms=1, address="host:1")
    directory._known.put(former_life, 0.0)
    control = ReleaseControl(lost_answer_count=0)
    mover, sessions = make_mover(control, directory, 0.0)
    session = sessions.get_or_create(former_life.id)
    session.note_grant(suspend_aware_now(), 0.5)
    directory._known.put(
        make_target("a", started_ms=2, revision=2, address="host:1"), 0.0
    )
    segment = Segment(first=0, last=9, owner="b", fence=7, former_owner=former_life.id)
    await mover.async_release_former_owner(segment, None)
    assert control.releases_at or suspend_aware_now() >= session.held_until


@pytest.mark.parametrize("names", [("a", "b"), ("b", "a")])
def test_entries_of_an_address_do_not_replace_each_other(
    names: tuple[str, str],
) -> None:
    """Guards against moving a live target's keys while it holds them.

    If two entries have the same address, only an answer there tells which of them is
    the live target, whatever their revisions and their order in the list.
    """
    older, newer = names
    directory = TargetDirectory(StoreHealth(), 2.0)
    revisions = {older: 10, newer: 20}
    for name in sorted(names):
        directory._known.put(
            make_target(name, revision=revisions[name], address="host:1"), 0.0
        )
    assert not directory.replaced_ids
    assert {target.name for target in directory.targets_at("host:1")} == {"a", "b"}


async def test_late_answer_to_a_grant_does_not_answer_a_release() -> None:
    """Guards against granting a key while its former owner still holds it.

    Answers to control calls have no id. If a target answers a renewal twice, the second
    answer must not be interpreted as the answer to a release on the same connection.
    """

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        calls = 0
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.partition(b"content-length:")[2].split()[0])
                await reader.readexactly(length)
                calls += 1
                is_release = head.startswith(b"post /api/release")
                # The second answer on a connection repeats the one to the grant.
                handover = b"swiftpin-handover: new\r\n" if is_release else b""
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n"
                    + (handover if calls == 1 else b"")
                    + b"\r\n"
                )
        writer.close()

    server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = HttpClient()
    control = TargetControl(client, lambda now: None)
    grant = KeyGrant(first=0, last=9, fence=1)
    address = f"{host}:{port}"
    call = GrantCall(
        first=0,
        last=9,
        hold=1.0,
        handover=None,
        fence_for_connection=lambda connection: 1,
    )
    await control.async_grant(address, "a", call, limit=1.0)
    with pytest.raises(TargetUnreachableError):
        await control.async_release(address, "a", grant, limit=1.0)
    client.unload()
    server.close()
