"""Tests of the assignment record after the store is restored from a backup."""

from __future__ import annotations

from typing import cast

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import StoreConflictError
from swiftpin.keyranges.assignment import Assignment, decode_assignment
from swiftpin.keyranges.assignment_record import AssignmentRecord
from swiftpin.keyranges.segment import Segment
from swiftpin.model.store_era import StoreEra
from swiftpin.model.store_revision import make_revision
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_client import StoreClient
from swiftpin.store_errors import ObjectMissingError


def make_assignment(owner: str) -> Assignment:
    """Return an assignment of all keys to one target."""
    return Assignment(segments=(Segment(first=0, last=65535, owner=owner, fence=7),))


class Store:
    """A store with one record, which can be restored from a backup."""

    def __init__(self) -> None:
        self.content: object = None
        self.revision = 1
        self.era = StoreEra()
        self.era.observe(0, 0.0)

    def restore(self, content: object) -> None:
        """Restore an older record, or none."""
        self.content = content
        self.era.observe(self.era.newest + 1, 0.0)
        self.revision = make_revision(self.era.newest, 1)

    async def async_get(self, kind: str, name: str) -> PlatformObject:
        """Return the record."""
        if self.content is None:
            raise ObjectMissingError(name)
        return PlatformObject(
            name=name,
            revision=self.revision,
            is_deleted=False,
            document={"specification": self.content},
        )

    async def async_create(self, kind: str, name: str, content: object) -> int:
        """Create the record."""
        if self.content is not None:
            raise StoreConflictError(name, self.revision)
        return self._write(content)

    async def async_replace(
        self, kind: str, name: str, content: object, revision: int | None
    ) -> int:
        """Replace the record if it is at the given revision."""
        if self.content is None:
            raise ObjectMissingError(name)
        if revision != self.revision:
            raise StoreConflictError(name, self.revision)
        return self._write(content)

    def _write(self, content: object) -> int:
        self.content = content
        self.revision += 1
        return self.revision

    @property
    def owner(self) -> str:
        """Return the owner of the first key."""
        return decode_assignment(self.content).segments[0].owner


@pytest.fixture(name="store")
def store_fixture() -> Store:
    """Return a store without a record."""
    return Store()


def make_record(store: Store) -> AssignmentRecord:
    """Return an assigner's access to the record."""
    return AssignmentRecord("desk", cast(StoreClient, store), StoreHealth())


async def test_record_of_an_earlier_assigner_is_replaced_after_a_restore(
    store: Store,
) -> None:
    """Keys must remain movable if the backup has a previous assigner's record."""
    await make_record(store).async_create(make_assignment("before"))
    backup = store.content
    current = make_record(store)
    await current.async_take_over(lambda: 9)
    store.restore(backup)
    assert not await current.async_replace(make_assignment("moved"))
    assert await current.async_replace(make_assignment("moved"))
    assert store.owner == "moved"


async def test_lost_record_is_written_again(store: Store) -> None:
    """Keys must remain movable if the backup has no record."""
    current = make_record(store)
    await current.async_create(make_assignment("first"))
    store.restore(None)
    assert not await current.async_replace(make_assignment("moved"))
    assert await current.async_replace(make_assignment("moved"))
    assert store.owner == "moved"


async def test_record_of_a_later_assigner_is_never_replaced(store: Store) -> None:
    """Guards against two assigners that overwrite each other's records."""
    former = make_record(store)
    await former.async_create(make_assignment("first"))
    store.restore(store.content)
    await make_record(store).async_take_over(lambda: 9)
    for _ in range(2):
        assert not await former.async_replace(make_assignment("moved"))
    assert store.owner == "first"


async def test_record_from_before_a_restore_is_taken_over_as_incomplete(
    store: Store,
) -> None:
    """Guards against a successor that trusts a record without the latest moves."""
    await make_record(store).async_create(make_assignment("before"))
    store.restore(store.content)
    successor = make_record(store)
    await successor.async_take_over(lambda: 9)
    assert not successor.is_complete


async def test_record_stays_incomplete_until_its_writer_knows_all_grants(
    store: Store,
) -> None:
    """Guards against a second successor that trusts the write of the first one."""
    await make_record(store).async_create(make_assignment("before"))
    store.restore(store.content)
    for _ in range(2):
        successor = make_record(store)
        await successor.async_take_over(lambda: 9)
        assert not successor.is_complete
        assert await successor.async_replace(make_assignment("planned"))
    successor.mark_complete()
    assert await successor.async_replace(make_assignment("settled"))
    last = make_record(store)
    await last.async_take_over(lambda: 9)
    assert last.is_complete


async def test_holder_must_repeat_its_record_after_each_restore(store: Store) -> None:
    """Guards against a holder that leaves a restored record to its successor."""
    holder = make_record(store)
    await holder.async_create(make_assignment("first"))
    for _ in range(2):
        assert not holder.must_be_repeated()
        store.restore(store.content)
        assert holder.must_be_repeated()
        while not await holder.async_replace(make_assignment("first")):
            assert holder.must_be_repeated()


async def test_late_write_of_an_earlier_era_does_not_count_as_complete(
    store: Store,
) -> None:
    """Guards against a late write that meets a revision which was given out again."""
    holder = make_record(store)
    await holder.async_create(make_assignment("first"))
    late_content = holder._encode(make_assignment("moved"))
    store.restore(store.content)
    store.content = late_content
    successor = make_record(store)
    await successor.async_take_over(lambda: 9)
    assert not successor.is_complete
