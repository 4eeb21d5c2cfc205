"""Tests of changes in the store: races, lost answers, history."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import replace

from aiohttp import ClientSession
import pytest

from swiftpin.config.change_unsettled_error import ChangeUnsettledError
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.envelope import encode_config_object
from swiftpin.config.lost_race_error import LostRaceError
from swiftpin.config.repository import HISTORY_LIMIT, ConfigRepository
from swiftpin.config.write_outcome import WriteOutcome
from swiftpin.exceptions import StoreUnavailableError
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.store.client import StoreClient
from swiftpin.store.stored_object import StoredObject
from tests.config.conftest import MakeChange
from tests.config.faulty_store_client import Fault, FaultyStoreClient

NAME = ConfigName(kind=ConfigKind.PROFILE, name="bookings")


@pytest.fixture
async def standin() -> AsyncIterator[StoreStandin]:
    """Return a running store."""
    standin = StoreStandin()
    await standin.async_start()
    yield standin
    await standin.async_stop()


@pytest.fixture
async def session() -> AsyncIterator[ClientSession]:
    """Return an HTTP session."""
    async with ClientSession() as session:
        yield session


@pytest.fixture
def client(session: ClientSession, standin: StoreStandin) -> FaultyStoreClient:
    """Return a client without faults yet."""
    client = FaultyStoreClient(session, standin.url)
    client.reset_faults()
    return client


@pytest.fixture
def repository(client: FaultyStoreClient) -> ConfigRepository:
    """Return a repository that does not wait between attempts."""
    return ConfigRepository(client, settle_delays=(0.0, 0.0, 0.0))


@pytest.fixture
def rival(session: ClientSession, standin: StoreStandin) -> ConfigRepository:
    """Return the repository of another operator."""
    return ConfigRepository(StoreClient(session, standin.url))


@pytest.fixture
def first(make_change: MakeChange) -> ConfigObject:
    """Return the first generation."""
    return make_change(ConfigKind.PROFILE, "bookings", 1, queue_length=1)


@pytest.fixture
def second(make_change: MakeChange) -> ConfigObject:
    """Return the second generation."""
    return make_change(ConfigKind.PROFILE, "bookings", 2, queue_length=2)


@pytest.fixture
def rivals_second(second: ConfigObject) -> ConfigObject:
    """Return another second generation, by a rival."""
    return replace(second, writer="rival", author="petr@ops")


async def generations(repository: ConfigRepository) -> list[tuple[int, str]]:
    """Return the kept generations with their writers."""
    history = await repository.async_read_history(NAME)
    return [(change.generation, change.writer) for change in history]


async def test_replaced_generation_is_kept(
    repository: ConfigRepository, first: ConfigObject, second: ConfigObject
) -> None:
    """A change replaces what was seen and keeps it in the history."""
    assert await repository.async_write(first, None) is WriteOutcome.ANSWERED
    seen = await repository.async_read(NAME)
    assert seen is not None
    assert seen.change == first
    assert await repository.async_write(second, seen) is WriteOutcome.ANSWERED
    assert await repository.async_read_history(NAME) == [first, second]


async def test_inventory_leaves_out_history_and_names_faults(
    repository: ConfigRepository,
    client: FaultyStoreClient,
    first: ConfigObject,
    second: ConfigObject,
) -> None:
    """One broken object does not hide the others."""
    await repository.async_write(first, None)
    await repository.async_write(second, await repository.async_read(NAME))
    await client.async_put("config/service/desk", b"broken")
    inventory = await repository.async_read_all()
    assert list(inventory.stored_by_id) == [NAME]
    assert [name.label for name in inventory.faults_by_id] == ["service/desk"]


async def test_race_names_the_winner(
    repository: ConfigRepository,
    rival: ConfigRepository,
    first: ConfigObject,
    second: ConfigObject,
    rivals_second: ConfigObject,
) -> None:
    """Symptom: an operator's change vanishes without a word.

    Sequence: two operators read generation 1; both write generation 2.
    Cause: the later write replacing what its writer never saw.
    """
    await repository.async_write(first, None)
    seen = await repository.async_read(NAME)
    await rival.async_write(rivals_second, seen)
    with pytest.raises(LostRaceError, match="petr@ops wrote it") as caught:
        await repository.async_write(second, seen)
    assert caught.value.present == rivals_second
    assert await generations(repository) == [(1, "writer-1"), (2, "rival")]


async def test_race_to_create(
    repository: ConfigRepository, rival: ConfigRepository, first: ConfigObject
) -> None:
    """Of two operators who create one name, one loses."""
    await rival.async_write(replace(first, writer="rival"), None)
    with pytest.raises(LostRaceError):
        await repository.async_write(first, None)


@pytest.mark.parametrize("fault", list(Fault)[:4])
async def test_lost_answer_is_settled(
    repository: ConfigRepository,
    client: FaultyStoreClient,
    first: ConfigObject,
    second: ConfigObject,
    fault: Fault,
) -> None:
    """Symptom: an operator is told that a change failed, and it is in force later.

    Sequence: the write, or its answer, is lost or late, or an HTTP client sends the
    write twice.
    Cause: taking no answer, or a conflict with one's own write, for a failure.
    """
    await repository.async_write(first, None)
    seen = await repository.async_read(NAME)
    client.faults_by_name[NAME.store_name].append(fault)
    assert await repository.async_write(second, seen) is WriteOutcome.READ_BACK
    assert await generations(repository) == [(1, "writer-1"), (2, "writer-2")]


async def test_late_write_cannot_undo_a_later_one(
    repository: ConfigRepository,
    client: FaultyStoreClient,
    first: ConfigObject,
    second: ConfigObject,
) -> None:
    """Symptom: an accepted change reverts.

    Sequence: a write is delayed in the network; it is sent again and accepted; then
    the delayed one arrives.
    Cause: a second sending that leaves the first one's condition true.
    """
    await repository.async_write(first, None)
    seen = await repository.async_read(NAME)
    client.faults_by_name[NAME.store_name].append(Fault.REQUEST_LATE)
    await repository.async_write(second, seen)
    assert client.late_conflicts == 1


async def test_second_sending_replaces_nobody(
    repository: ConfigRepository,
    client: FaultyStoreClient,
    rival: ConfigRepository,
    first: ConfigObject,
    second: ConfigObject,
    rivals_second: ConfigObject,
) -> None:
    """Symptom: an accepted change of a rival vanishes.

    Sequence: a write is lost; it is read back as absent; a rival writes; then it is
    sent again.
    Cause: a second sending without the first one's condition.
    """
    await repository.async_write(first, None)
    seen = await repository.async_read(NAME)

    async def async_rival() -> None:
        await rival.async_write(rivals_second, seen)

    async def async_before_first() -> None:
        client.before_put_by_name[NAME.store_name] = async_rival

    client.before_put_by_name[NAME.store_name] = async_before_first
    client.faults_by_name[NAME.store_name].append(Fault.REQUEST_LOST)
    with pytest.raises(LostRaceError):
        await repository.async_write(second, seen)
    assert await generations(repository) == [(1, "writer-1"), (2, "rival")]


@pytest.mark.parametrize("fault", [Fault.ANSWER_LOST, Fault.REQUEST_LOST])
async def test_lost_answer_and_a_rival(
    repository: ConfigRepository,
    client: FaultyStoreClient,
    rival: ConfigRepository,
    first: ConfigObject,
    second: ConfigObject,
    rivals_second: ConfigObject,
    fault: Fault,
) -> None:
    """Symptom: an operator learns the wrong outcome of a change.

    Sequence: the answer is lost; before it is read back, a rival writes.
    Cause: looking only at what is stored now. A change that took effect and was
    replaced is in the history, one that never arrived is not.
    """
    await repository.async_write(first, None)
    seen = await repository.async_read(NAME)
    client.faults_by_name[NAME.store_name].append(fault)
    put = client.async_put

    async def put_then_rival(
        name: str, body: bytes, *, expect: int | None = None
    ) -> int:
        try:
            return await put(name, body, expect=expect)
        finally:
            if name == NAME.store_name:
                client.async_put = put  # type: ignore[method-assign]
                present = await rival.async_read(NAME)
                assert present is not None
                generation = present.change.generation + 1
                change = replace(rivals_second, generation=generation)
                await rival.async_write(change, present)

    client.async_put = put_then_rival  # type: ignore[method-assign]
    if fault is Fault.ANSWER_LOST:
        assert await repository.async_write(second, seen) is WriteOutcome.READ_BACK
        assert await generations(repository) == [
            (1, "writer-1"),
            (2, "writer-2"),
            (3, "rival"),
        ]
        return
    with pytest.raises(LostRaceError):
        await repository.async_write(second, seen)
    assert await generations(repository) == [(1, "writer-1"), (2, "rival")]


async def test_kept_connection_that_breaks(
    repository: ConfigRepository, standin: StoreStandin, first: ConfigObject
) -> None:
    """Symptom: an operator loses a race against himself.

    Sequence: the store carries a write out and drops the connection; the HTTP
    library sends the write again, which now meets the first one's version.
    Cause: taking that conflict for a rival's.
    """
    await repository.async_read_all()
    standin.faults.lose_answer_next = 1
    assert await repository.async_write(first, None) is WriteOutcome.READ_BACK
    assert await generations(repository) == [(1, "writer-1")]


async def test_stale_read_is_no_lost_race(
    repository: ConfigRepository,
    client: FaultyStoreClient,
    first: ConfigObject,
    second: ConfigObject,
    make_change: MakeChange,
) -> None:
    """Symptom: an operator is told of a race though the change is in force.

    Sequence: the answer is lost; the read that follows shows a state from before.
    Cause: judging by a version older than the one that was replaced.
    """
    await repository.async_write(first, None)
    old = await repository.async_read(NAME)
    assert old is not None
    await repository.async_write(second, old)
    third = make_change(ConfigKind.PROFILE, "bookings", 3)
    seen = await repository.async_read(NAME)
    client.faults_by_name[NAME.store_name].append(Fault.ANSWER_LOST)
    body = encode_config_object(first)
    client.stale_reads.append(
        StoredObject(name=NAME.store_name, version=old.version, body=body)
    )
    assert await repository.async_write(third, seen) is WriteOutcome.READ_BACK


async def test_unknown_outcome_is_said_to_be_unknown(
    repository: ConfigRepository, client: FaultyStoreClient, first: ConfigObject
) -> None:
    """Symptom: an operator applies a change a second time that is in force.

    Sequence: the write takes effect, its answer is lost and the store goes away.
    Cause: calling an unknown outcome a failure.
    """
    client.faults_by_name[NAME.store_name].append(Fault.STORE_GONE)
    with pytest.raises(ChangeUnsettledError, match="writer-1"):
        await repository.async_write(first, None)


async def test_store_that_refuses_connections(
    repository: ConfigRepository, standin: StoreStandin, first: ConfigObject
) -> None:
    """A write that was never sent is a plain failure."""
    await standin.async_stop()
    with pytest.raises(StoreUnavailableError):
        await repository.async_write(first, None)


async def test_keeping_survives_a_lost_answer(
    repository: ConfigRepository,
    client: FaultyStoreClient,
    first: ConfigObject,
    second: ConfigObject,
) -> None:
    """A generation that may be kept already is kept once."""
    await repository.async_write(first, None)
    seen = await repository.async_read(NAME)
    client.faults_by_name[NAME.history_name(1)].append(Fault.ANSWER_LOST)
    await repository.async_write(second, seen)
    assert await repository.async_read_history(NAME) == [first, second]


async def test_no_generation_is_missing_after_a_rival(
    repository: ConfigRepository,
    client: FaultyStoreClient,
    rival: ConfigRepository,
    first: ConfigObject,
    second: ConfigObject,
    rivals_second: ConfigObject,
) -> None:
    """Symptom: history shows a generation that was never in force.

    Sequence: an operator keeps generation 1; a rival replaces it first.
    Cause: the loser leaving his own generation 2 in the history.
    """
    await repository.async_write(first, None)
    seen = await repository.async_read(NAME)

    async def async_rival() -> None:
        await rival.async_write(rivals_second, seen)

    client.before_put_by_name[NAME.store_name] = async_rival
    with pytest.raises(LostRaceError):
        await repository.async_write(second, seen)
    assert await repository.async_read_history(NAME) == [first, rivals_second]


async def test_history_is_bounded(
    repository: ConfigRepository, make_change: MakeChange
) -> None:
    """The oldest generations go, so the store does not fill."""
    newest = HISTORY_LIMIT + 5
    for generation in range(1, newest + 1):
        change = make_change(ConfigKind.PROFILE, "bookings", generation)
        await repository.async_write(change, await repository.async_read(NAME))
    kept = [generation for generation, _ in await generations(repository)]
    assert kept == list(range(newest - HISTORY_LIMIT, newest + 1))
