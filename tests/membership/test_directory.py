"""Tests of the instance directory."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import ClientSession, web
import pytest

from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.instance_info import InstanceInfo


class Platform:
    """An HTTP server that lists what the test says."""

    def __init__(self) -> None:
        self.status = 200
        self.body: object = {"instances": []}

    async def async_answer(self, request: web.Request) -> web.Response:
        """Answer the list."""
        return web.json_response(self.body, status=self.status)


def make_entry(name: str, state: str = "live") -> dict[str, str]:
    """Return a listed instance."""
    return {
        "name": name,
        "zone": "a",
        "state": state,
        "peer": "127.0.0.1:7001",
        "forward": "127.0.0.1:7002",
        "admin": "127.0.0.1:7003",
    }


@pytest.fixture
def listing() -> Platform:
    """Return what the platform answers."""
    return Platform()


@pytest.fixture
async def directory(
    session: ClientSession, listing: Platform
) -> AsyncIterator[InstanceDirectory]:
    """Return a directory of the platform, not yet read."""
    app = web.Application()
    app.router.add_get("/v1/instances", listing.async_answer)
    runner = web.AppRunner(app)
    await runner.setup()
    address = PortAllocator().allocate()
    host, _, port = address.partition(":")
    await web.TCPSite(runner, host, int(port)).start()
    yield InstanceDirectory(session=session, url=f"http://{address}/", seed=1)
    await runner.cleanup()


async def test_list_is_read(directory: InstanceDirectory, listing: Platform) -> None:
    """Instances are known by name and by instance id."""
    listing.body = {"instances": [make_entry("a-1", "leaving")]}
    assert await directory.async_refresh()
    expected = InstanceInfo(
        name="a-1",
        zone="a",
        leaving=True,
        peer="127.0.0.1:7001",
        forward="127.0.0.1:7002",
        admin="127.0.0.1:7003",
    )
    assert directory.instances_by_name == {"a-1": expected}
    assert directory.info_of("a-1/f00") == expected
    assert directory.info_of("b-1/f00") is None


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (503, {"instances": [make_entry("b-1")]}),
        (200, {"instances": [{"name": "b-1"}]}),
        (200, "nonsense"),
        (200, {"instances": []}),
    ],
    ids=["error", "incomplete", "malformed", "empty"],
)
async def test_last_known_list_stays_after_a_failure(
    directory: InstanceDirectory, listing: Platform, status: int, body: object
) -> None:
    """An instance loses all its peers at once.

    The platform fails, or answers with nonsense or nobody; adopted, that would cut
    this instance off although every peer is well.
    """
    listing.body = {"instances": [make_entry("a-1")]}
    await directory.async_refresh()
    listing.status, listing.body = status, body
    assert not await directory.async_refresh()
    assert list(directory.instances_by_name) == ["a-1"]
    assert directory.failures == 1


async def test_platform_that_is_down_does_not_stop_the_setup(
    session: ClientSession,
) -> None:
    """An instance starts although nobody listens at the list's address."""
    url = f"http://{PortAllocator().allocate()}"
    directory = InstanceDirectory(session=session, url=url, seed=1)
    await directory.async_setup()
    assert directory.instances_by_name == {}
    await directory.async_unload()


async def test_listener_is_told_of_changes_only(
    directory: InstanceDirectory, listing: Platform
) -> None:
    """Reading the same list again tells nobody."""
    changes: list[int] = []
    unsubscribe = directory.subscribe(
        lambda: changes.append(len(directory.instances_by_name))
    )
    listing.body = {"instances": [make_entry("a-1")]}
    await directory.async_refresh()
    await directory.async_refresh()
    unsubscribe()
    listing.body = {"instances": [make_entry("a-1"), make_entry("a-2")]}
    await directory.async_refresh()
    assert changes == [1]


async def test_long_list_is_read_more_rarely(
    directory: InstanceDirectory, listing: Platform
) -> None:
    """The list of a large fleet costs no more bytes a second than its limit."""
    listing.body = {"instances": [make_entry(f"a-{i}") for i in range(7000)]}
    await directory.async_refresh()
    assert directory._list_size / directory._next_delay() < 6_000


def test_incarnations_are_remembered_by_name(session: ClientSession) -> None:
    """The last one heard of counts; a bare name tells nothing."""
    directory = InstanceDirectory(session=session, url="http://x", seed=1)
    for instance_id in ("a-1/f00", "a-1/f01", "a-1", "b-1"):
        directory.note_instance(instance_id)
    assert directory.incarnations_by_name == {"a-1": "f01"}
