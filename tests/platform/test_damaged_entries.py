"""Tests of the store's answers with entries that are not JSON."""

from __future__ import annotations

from collections.abc import AsyncIterator
import json
import time
from typing import Final

from hypothesis import assume, given
from hypothesis import strategies as st
import pytest

from swiftpin.exceptions import StoreUnavailableError
from swiftpin.model.unusable_entry import UnusableEntryError
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_answers import parse_changes, parse_list, parse_object
from swiftpin.platform.store_client import StoreClient
from swiftpin.platform.target_entries import decode_target
from swiftpin.router.http_clients import HttpClients
from tests.discovery.conftest import content
from tests.platform.damaged_entries import DAMAGED_CONTENTS
from tests.router.store_standin import StoreStandin, encode_event, encode_object

KIND: Final = "servers"

FRAGMENTS: Final = [
    *(bytes([byte]) for byte in b'{}[]",:\\ 1x\x00\xff'),
    b'"metadata":{"name":"m","revision":2}',
    b'{"metadata":',
    b'"items":[',
    b'"events":[',
    b'"deleted":true',
    b'"status":null',
    b'},{"b":1',
]


@pytest.fixture(name="store")
async def store_fixture() -> AsyncIterator[StoreStandin]:
    """Yield a running store."""
    store = StoreStandin()
    await store.async_setup()
    yield store
    await store.async_unload()


@pytest.fixture(name="client")
async def client_fixture(store: StoreStandin) -> AsyncIterator[StoreClient]:
    """Yield a client of the store."""
    clients = HttpClients()
    yield StoreClient(store.address, clients.store)
    clients.unload()


def usable_names(objects: tuple[PlatformObject, ...]) -> list[str]:
    """Return the names of the targets that the entries describe."""
    names = []
    for entry in objects:
        try:
            names.append(decode_target(entry).name)
        except UnusableEntryError:
            continue
    return names


@pytest.mark.parametrize(
    "damaged", DAMAGED_CONTENTS.values(), ids=DAMAGED_CONTENTS.keys()
)
async def test_damaged_entry_does_not_hide_the_list(
    store: StoreStandin, client: StoreClient, damaged: bytes
) -> None:
    """Guards against an instance that finds no target after its start."""
    store.put(KIND, "a", content("a"))
    store.put_bytes(KIND, "damaged", damaged)
    store.put(KIND, "z", content("z"))
    listed = await client.async_list(KIND)
    assert usable_names(listed.objects) == ["a", "z"]
    assert [entry.name for entry in listed.objects] == ["a", "damaged", "z"]
    assert listed.revision == store.revision


@pytest.mark.parametrize(
    "damaged", DAMAGED_CONTENTS.values(), ids=DAMAGED_CONTENTS.keys()
)
async def test_damaged_entry_does_not_hide_changes(
    store: StoreStandin, client: StoreClient, damaged: bytes
) -> None:
    """Guards against requests to targets whose departure goes unnoticed."""
    store.put(KIND, "gone", content("gone"))
    start = store.revision
    store.put(KIND, "a", content("a"))
    store.put_bytes(KIND, "damaged", damaged)
    store.remove(KIND, "gone")
    store.remove(KIND, "damaged")
    store.put(KIND, "z", content("z", state="draining"))
    changes = await client.async_watch(KIND, start, 0.0)
    assert [(entry.name, entry.is_deleted) for entry in changes.objects] == [
        ("a", False),
        ("damaged", False),
        ("gone", True),
        ("damaged", True),
        ("z", False),
    ]
    assert usable_names(changes.objects)[0] == "a"
    assert decode_target(changes.objects[-1]).is_draining
    assert changes.revision == store.revision


async def test_many_damaged_entries_are_read_in_time(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against an event loop that stands still for a list of damaged entries."""
    for number in range(500):
        damaged = b'"' + b'\\"' * 500 + b'[{"b":"' * 100
        store.put_bytes(KIND, f"damaged-{number:03}", damaged)
    store.put(KIND, "z", content("z"))
    started_at = time.process_time()
    listed = await client.async_list(KIND)
    assert time.process_time() - started_at < 1.0
    assert usable_names(listed.objects) == ["z"]


def as_item(name: str, revision: int, written: object) -> dict[str, object]:
    """Return an object as the store keeps it."""
    metadata = {"name": name, "revision": revision, "deleting": False}
    return {"metadata": metadata, "specification": written, "status": None}


def is_json(body: bytes) -> bool:
    """Return whether bytes are JSON."""
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        return False
    return True


arbitrary_bytes = st.binary(max_size=60) | st.lists(
    st.sampled_from(FRAGMENTS), max_size=12
).map(b"".join)


@given(before=arbitrary_bytes, between=arbitrary_bytes)
def test_arbitrary_bytes_hide_no_sound_entry(before: bytes, between: bytes) -> None:
    """Guards against any bytes of other writers that hide a sound entry."""
    items = [
        as_item("b", 4, before),
        as_item("c", 5, content("c")),
        as_item("d", 6, between),
        as_item("e", 7, content("e")),
    ]
    body = b",".join(encode_object(item) for item in items)
    # Two entries may form valid JSON that includes those between them.
    assume(not is_json(b"[%s]" % body))
    page = parse_list(b'{"items":[%s],"more":true,"at":9}' % body, 0)
    assert {"c", "e"} <= set(usable_names(page.objects))
    assert (page.revision, page.has_more) == (9, True)
    events = b",".join(encode_event(item, deleted=False) for item in items)
    changes = parse_changes(b'{"events":[%s],"at":9}' % events, 0)
    assert {"c", "e"} <= set(usable_names(changes.objects))
    assert changes.revision == 9


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b'{"items":',
        b'{"items":[{"metadata":{"name":"a","revision":1}}',
        b'{"items":[{"other":1,}],"at":9}',
        b'{"items":[,],"at":9}',
        b'{"more":,"items":[],"at":9}',
        b'{"a":' * 5000 + b'"items":[]}',
    ],
)
def test_list_that_is_not_an_answer_is_no_empty_list(body: bytes) -> None:
    """Guards against targets that count as gone because their list can't be read."""
    with pytest.raises(StoreUnavailableError):
        parse_list(body, 0)


def test_object_keeps_its_revision_if_its_content_is_damaged() -> None:
    """Guards against a record that can't be replaced because it can't be read."""
    body = encode_object(as_item("a", 4, b"{"))
    entry = parse_object(body, 0)
    assert (entry.name, entry.revision, entry.content) == ("a", 4, None)
