"""Tests of the stand-in store over HTTP."""

from __future__ import annotations

import asyncio

from aiohttp import (
    ClientHandlerType,
    ClientRequest,
    ClientResponse,
    ClientSession,
    ServerDisconnectedError,
)
import pytest

from swiftpin.bench.processes.polling import async_poll
from swiftpin.exceptions import (
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.standins.store_standin import BODY_LIMIT, StoreStandin
from swiftpin.store.client import ABSENT, StoreClient


async def _async_send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Send a request without the second try that aiohttp makes by itself."""
    try:
        return await handler(request)
    except ServerDisconnectedError as err:
        raise StoreOutcomeUnknownError(str(err)) from err


async def test_written_object_is_read_back(store_client: StoreClient) -> None:
    """Names may hold slashes and blanks; the body comes back unchanged."""
    version = await store_client.async_put("config/service/x y", b'{"a": 1}')
    read = await store_client.async_get("config/service/x y")
    assert read is not None
    assert (read.version, read.body) == (version, b'{"a": 1}')


async def test_lost_race_names_the_present_version(store_client: StoreClient) -> None:
    """A failed condition answers 412 with the present version."""
    version = await store_client.async_put("a", b"1", expect=ABSENT)
    with pytest.raises(StoreConflictError) as raised:
        await store_client.async_put("a", b"2", expect=version + 1)
    assert raised.value.version == version


async def test_removed_object_is_absent(store_client: StoreClient) -> None:
    """A conditional removal takes effect only at its version."""
    version = await store_client.async_put("a", b"1")
    with pytest.raises(StoreConflictError):
        await store_client.async_delete("a", expect=version + 1)
    await store_client.async_delete("a", expect=version)
    assert await store_client.async_get("a") is None


async def test_body_above_the_limit_is_refused(store_client: StoreClient) -> None:
    """One mebibyte is taken, one byte more is not."""
    await store_client.async_put("a", b"x" * BODY_LIMIT)
    with pytest.raises(StoreError):
        await store_client.async_put("a", b"x" * (BODY_LIMIT + 1))


async def test_list_is_sorted_and_has_bodies(store_client: StoreClient) -> None:
    """A list covers its prefix only and carries the revision."""
    for name in ("b/2", "b/1", "c"):
        await store_client.async_put(name, name.encode())
    listing = await store_client.async_list("b/", bodies=True)
    assert [item.body for item in listing.objects_by_name.values()] == [b"b/1", b"b/2"]
    assert listing.revision == 3


async def test_watch_ends_with_the_first_change(
    store: StoreStandin, store_client: StoreClient
) -> None:
    """Only changes under the prefix end a watch."""
    watch = asyncio.create_task(store_client.async_watch("a/", 0, 60))
    await async_poll(lambda: store.counters.total("watches") > 0, 10)
    await store_client.async_put("b", b"1")
    await store_client.async_put("a/1", b"1")
    result = await watch
    assert result is not None
    assert [(item.name, item.version) for item in result.events] == [("a/1", 2)]


async def test_watch_tells_of_a_removal(store_client: StoreClient) -> None:
    """A removal is an event of its own kind."""
    await store_client.async_put("a", b"1")
    await store_client.async_delete("a")
    result = await store_client.async_watch("a", 1, 60)
    assert result is not None
    assert [item.deleted for item in result.events] == [True]


async def test_watch_after_its_wait_is_empty(store_client: StoreClient) -> None:
    """A watch without news answers with the present revision."""
    await store_client.async_put("a", b"1")
    result = await store_client.async_watch("b", 0, 0)
    assert result is not None
    assert (result.revision, result.events) == (1, [])


async def test_watch_from_a_forgotten_revision_has_to_list(
    store: StoreStandin, store_client: StoreClient
) -> None:
    """410 stands for a history that is gone."""
    await store_client.async_put("a", b"1")
    store.state.forget_history()
    assert await store_client.async_watch("a", 0, 60) is None


async def test_outage_refuses_reads_and_waiting_watches(
    store: StoreStandin, store_client: StoreClient
) -> None:
    """Also a watch that waited before the outage ends with 503."""
    watch = asyncio.create_task(store_client.async_watch("a/", 0, 60))
    await async_poll(lambda: store.counters.total("watches") > 0, 10)
    store.faults.outage = True
    with pytest.raises(StoreUnavailableError):
        await store_client.async_get("a")
    with pytest.raises(StoreUnavailableError):
        await watch


@pytest.mark.parametrize("fault", ["lose_answer_next", "lose_answer_share"])
async def test_write_with_a_lost_answer_took_effect(
    store: StoreStandin, fault: str
) -> None:
    """A write fails and is there.

    The store writes and the connection ends before the answer. The session sends
    once only: aiohttp's own second try would meet the first one's write.
    """
    setattr(store.faults, fault, 1)
    async with ClientSession(middlewares=[_async_send_once]) as session:
        with pytest.raises(StoreOutcomeUnknownError):
            await StoreClient(session, store.url).async_put("a", b"1", expect=ABSENT)
    assert store.state.version_of("a") == 1
    assert store.counters.total("writes") == 1


async def test_hung_write_takes_effect_after_its_caller_left(
    session: ClientSession, store: StoreStandin
) -> None:
    """A write shows up after a read that showed it absent.

    The store hangs; the writer gives up; the hang ends; the store goes on with the
    call that it had read. Cause: giving up on a call does not take it back.
    """
    store.faults.hang = True
    client = StoreClient(session, store.url, timeout=0.05)
    with pytest.raises(StoreOutcomeUnknownError):
        await client.async_put("a", b"1", expect=ABSENT)
    assert store.state.version_of("a") == ABSENT
    store.faults.hang = False
    await async_poll(lambda: store.state.version_of("a") > 0, 10)


async def test_stale_reads_show_an_earlier_state(
    store: StoreStandin, store_client: StoreClient
) -> None:
    """Reads are stale while conditions are judged truly."""
    await store_client.async_put("a", b"1")
    store.faults.stale_reads_ms = 60_000
    assert await store_client.async_get("a") is None
    assert (await store_client.async_list("")).objects_by_name == {}
    with pytest.raises(StoreConflictError):
        await store_client.async_put("a", b"2", expect=ABSENT)


async def test_blocked_client_gets_no_answer(
    session: ClientSession, store: StoreStandin
) -> None:
    """A blocked instance is cut off, others are not."""
    store.faults.blocked_clients = ["i1"]
    async with ClientSession(headers={"Swiftpin-Instance": "i1/ab"}) as blocked:
        with pytest.raises(StoreOutcomeUnknownError):
            await StoreClient(blocked, store.url).async_put("a", b"1")
    await StoreClient(session, store.url).async_put("a", b"1", expect=ABSENT)


async def test_faults_are_replaced_as_a_whole(
    session: ClientSession, store: StoreStandin
) -> None:
    """Faults left out of a document are cleared."""
    url = f"{store.url}/_standin/faults"
    for document in ({"outage": True, "lose_answer_next": 3}, {"latency_ms": 1}):
        async with session.put(url, json=document) as response:
            assert response.status == 200
    assert (store.faults.outage, store.faults.lose_answer_next) == (False, 0)
    assert store.faults.latency_ms == 1


async def test_unknown_fault_is_refused(
    session: ClientSession, store: StoreStandin
) -> None:
    """A misspelt fault is no silent success."""
    url = f"{store.url}/_standin/faults"
    async with session.put(url, json={"outrage": True}) as response:
        assert response.status == 400


async def test_counters_tell_calls_apart(
    session: ClientSession, store: StoreStandin, store_client: StoreClient
) -> None:
    """Counts and rates are kept for each kind of call."""
    await store_client.async_put("a", b"12")
    await store_client.async_get("a")
    await store_client.async_watch("a", 0, 0)
    with pytest.raises(StoreConflictError):
        await store_client.async_put("a", b"34", expect=ABSENT)
    async with session.get(f"{store.url}/_standin/counters") as response:
        counters = await response.json()
    totals = counters["totals"]
    expected = {"reads": 1, "writes": 2, "conflicts": 1, "watches": 1, "bytes_in": 4}
    assert expected.items() <= totals.items()
    assert counters["per_second"]["writes"] == pytest.approx(0.2)


async def test_objects_outlive_a_restart_on_the_same_port(
    store: StoreStandin, store_client: StoreClient
) -> None:
    """A stop and start looks like a restart with a kept disk."""
    await store_client.async_put("a", b"1")
    url = store.url
    await store.async_stop()
    with pytest.raises(StoreUnavailableError):
        await store_client.async_get("a")
    assert await store.async_start() == url
    assert await store_client.async_get("a") is not None
