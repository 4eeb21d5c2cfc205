"""Tests of the lease."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.keyranges.const import EXTENSION_LIMIT, LEASE_MARGIN, LEASE_TIME
from swiftpin.keyranges.election_rules import (
    ELECTION_DELAY_PER_RANK,
    POLL_INTERVAL,
    RELAXED_POLL_INTERVAL,
)
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.model.store_era import StoreEra
from swiftpin.model.store_revision import era_of, make_revision
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.store_errors import ObjectMissingError
from tests.keyranges.conftest import Clock


class FakeStore:
    """One object with a revision; may lose answers or be away."""

    def __init__(self) -> None:
        self.content: object = None
        self.revision = 0
        self.is_away = False
        self.loses_answers = False
        self.era = StoreEra()

    def copy(self) -> object:
        """Return the record as it is, to come back to."""
        return self.content

    def restore(self, copy: object) -> None:
        """Come back from an older copy."""
        self.content = copy
        self.revision = make_revision(era_of(self.revision) + 1, 1)

    async def async_get(
        self, kind: str, name: str, *, limit: float = 1.0
    ) -> PlatformObject:
        """Return the object."""
        self._check()
        if self.content is None:
            raise ObjectMissingError(name)
        return PlatformObject(
            name=name,
            revision=self.revision,
            is_deleted=False,
            document={"specification": self.content},
        )

    async def async_create(
        self, kind: str, name: str, content: object, *, limit: float = 1.0
    ) -> int:
        """Create the object."""
        self._check()
        if self.content is not None:
            raise StoreConflictError(name, self.revision)
        return self._write(content)

    async def async_replace(
        self,
        kind: str,
        name: str,
        content: object,
        revision: int | None,
        *,
        limit: float = 1.0,
    ) -> int:
        """Replace the object."""
        self._check()
        if revision != self.revision:
            raise StoreConflictError(name, self.revision)
        return self._write(content)

    def _check(self) -> None:
        if self.is_away:
            raise StoreUnavailableError("away")
        self.era.note(era_of(self.revision))

    def _write(self, content: object) -> int:
        self.content = content
        self.revision += 1
        if self.loses_answers:
            raise StoreOutcomeUnknownError("lost")
        return self.revision


@pytest.fixture(name="store")
def store_fixture() -> FakeStore:
    """Return an empty store."""
    return FakeStore()


def make_assigner(
    store: FakeStore, name: str, *, is_willing: bool = True
) -> LeaseElection:
    """Return a candidate that hears no holder."""
    assigner = LeaseElection(
        name=name,
        incarnation=f"{name}/1",
        peer="127.0.0.1:1",
        client=store,  # type: ignore[arg-type]  # the calls that are made
        health=StoreHealth(),
        rng=Random(1),
        strength=2.0,
        first_start=True,
        is_holder_heard=lambda holder: False,
        is_linked=lambda: False,
    )
    if is_willing:
        assigner.note_willing()
    assigner.members = ("b", "a")
    return assigner


async def async_step(assigner: LeaseElection, clock: Clock) -> None:
    """Let a assigner act once."""
    if assigner.is_held(clock.now):
        await assigner._async_renew()
    else:
        await assigner._async_poll(clock.now)


async def test_second_candidate_waits_for_the_end(
    store: FakeStore, clock: Clock
) -> None:
    """A lease passes on only after it ran out, and never has two holders."""
    first, second = make_assigner(store, "a"), make_assigner(store, "b")
    await async_step(first, clock)
    await async_step(first, clock)
    await async_step(second, clock)
    assert first.is_held(clock.now)
    assert not second.is_held(clock.now)
    clock.now += LEASE_TIME
    await async_step(second, clock)
    assert not first.is_held(clock.now)
    assert not second.is_held(clock.now)
    clock.now += LEASE_MARGIN + 0.01
    await async_step(second, clock)
    assert second.is_held(clock.now)
    assert second.term == first.term + 1


async def test_paused_holder_does_not_assign(store: FakeStore, clock: Clock) -> None:
    """Symptom: two instances assigned keys at the same time.

    Sequence: the holder was suspended longer than its lease; another one took over; the
    first one woke up. Cause: it asked a clock that stands still in a suspension.
    """
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    clock.now += LEASE_TIME + 5
    assert not holder.is_held(clock.now)


async def test_lost_answer_is_read_back(store: FakeStore, clock: Clock) -> None:
    """Symptom: the holder gave up a lease that it had renewed.

    Sequence: a renewal was written, its answer lost; the next try met a conflict.
    Cause: the conflict was taken for another holder.
    """
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    store.loses_answers = True
    clock.now += 1.0
    await async_step(holder, clock)
    clock.now += 1.0
    assert holder.is_held(clock.now)


async def test_votes_keep_the_holder_while_the_store_is_away(
    store: FakeStore, clock: Clock
) -> None:
    """Symptom: all keys lost their owners during an outage of the store.

    Sequence: the store was away for longer than lease and grants last together.
    Cause: the holder stopped renewing grants, though nobody could take the lease.
    """
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    store.is_away = True
    holder.extended_until = clock.now + LEASE_TIME + 2.0
    clock.now += LEASE_TIME + 1.0
    assert holder.is_held(clock.now)
    holder.extended_until = clock.now + 100.0
    clock.now += EXTENSION_LIMIT
    assert not holder.is_held(clock.now)


async def test_holder_on_votes_tries_less_often(store: FakeStore, clock: Clock) -> None:
    """While the lease runs each try counts; later the store's return can wait a bit."""
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    store.is_away = True
    holder.extended_until = clock.now + LEASE_TIME + 2.0
    soon = await holder._async_renew()
    clock.now += LEASE_TIME + 0.1
    assert holder.is_held(clock.now)
    assert await holder._async_renew() > 2 * soon


async def test_lapsed_lease_never_counts_again_in_its_term(
    store: FakeStore, clock: Clock
) -> None:
    """Symptom: keys went to targets under fences that others had had before.

    Sequence: the store turned the holder away; its lease ran out and its assigner
    stopped; votes came in once more, and a new assigner began in the same term, with
    the same fences. Cause: the lease counted again, though others knew of its end.
    """
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    first_term = holder.term
    store.is_away = True
    clock.now += LEASE_TIME + 1.0
    assert not holder.is_held(clock.now)
    assert holder.own_resigned_term(clock.now) == first_term
    holder.extended_until = clock.now + 1.0
    assert not holder.is_held(clock.now)
    store.is_away = False
    # A renewal that was on its way when the lease ran out.
    await holder._async_renew()
    assert not holder.is_held(clock.now)
    await async_step(holder, clock)
    clock.now += 0.1
    await async_step(holder, clock)
    assert holder.is_held(clock.now)
    assert holder.term == first_term + 1


async def test_vote_binds_whoever_gave_it(store: FakeStore, clock: Clock) -> None:
    """A member that voted leaves a lease alone that has run out."""
    holder, member = make_assigner(store, "a"), make_assigner(store, "b")
    await async_step(holder, clock)
    await async_step(holder, clock)
    await async_step(member, clock)
    clock.now += LEASE_TIME + LEASE_MARGIN + 0.1
    member.own_vote_until = clock.now + 1.0
    await async_step(member, clock)
    assert not member.is_held(clock.now)
    clock.now += 1.1
    await async_step(member, clock)
    assert member.is_held(clock.now)


async def test_stranger_waits_beyond_all_votes(store: FakeStore, clock: Clock) -> None:
    """An instance that nobody asks for a vote waits until none can count."""
    holder, stranger = make_assigner(store, "a"), make_assigner(store, "new")
    await async_step(holder, clock)
    await async_step(holder, clock)
    await async_step(stranger, clock)
    clock.now += LEASE_TIME + LEASE_MARGIN + 0.1
    await async_step(stranger, clock)
    assert not stranger.is_held(clock.now)
    clock.now += EXTENSION_LIMIT
    await async_step(stranger, clock)
    assert stranger.is_held(clock.now)


async def test_members_of_an_unanswered_renewal_must_vote(
    store: FakeStore, clock: Clock
) -> None:
    """Symptom: a new member took the lease over from a holder with votes.

    Sequence: a renewal named the new member, its answer was lost, and the store went
    away. Cause: only members of renewals that were answered were asked to vote.
    """
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    store.is_away = True
    holder.members = ("a", "b", "new")
    await async_step(holder, clock)
    assert holder.voters == {"b", "new"}


async def test_resigned_lease_is_taken_at_once(store: FakeStore, clock: Clock) -> None:
    """Nobody waits for a holder that said that it assigns no more."""
    holder, member = make_assigner(store, "a"), make_assigner(store, "b")
    await async_step(holder, clock)
    await async_step(member, clock)
    member.resigned_term = holder.term
    await async_step(member, clock)
    assert member.is_held(clock.now)


async def test_resigned_lease_is_left_to_those_named(
    store: FakeStore, clock: Clock
) -> None:
    """Symptom: for 14 s one weak instance after the other assigned keys for 2 s each.

    Sequence: a holder resigned; among 88 instances one of the 72 that the record does
    not name looked at the lease first and took it. It could not bear the work, resigned
    in its turn, and so on, while 8 instances five times as strong were there. Cause:
    members of the record waited by rank for stronger ones, all others not at all.
    Evidence: holders of terms 2 to 8 were all of those that no record names.
    """
    holder = make_assigner(store, "a")
    named, stranger = make_assigner(store, "b"), make_assigner(store, "new")
    for candidate in (holder, holder, named, stranger):
        await async_step(candidate, clock)
    for candidate in (named, stranger):
        candidate.resigned_term = holder.term
    await async_step(stranger, clock)
    clock.now += RELAXED_POLL_INTERVAL + POLL_INTERVAL
    await async_step(stranger, clock)
    assert not stranger.is_held(clock.now)
    await async_step(named, clock)
    clock.now += POLL_INTERVAL
    await async_step(named, clock)
    assert named.is_held(clock.now)


async def test_resigned_lease_is_taken_by_a_stranger_when_no_one_named_is_left(
    store: FakeStore, clock: Clock
) -> None:
    """All instances that the record names may be gone."""
    holder, stranger = make_assigner(store, "a"), make_assigner(store, "new")
    for candidate in (holder, holder, stranger):
        await async_step(candidate, clock)
    stranger.resigned_term = holder.term
    await async_step(stranger, clock)
    clock.now += 2.0
    await async_step(stranger, clock)
    assert stranger.is_held(clock.now)


async def test_own_earlier_incarnation_is_not_waited_for(
    store: FakeStore, clock: Clock
) -> None:
    """A process that was restarted knows that the one before it has ended."""
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    restarted = make_assigner(store, "a")
    await async_step(restarted, clock)
    assert restarted.is_held(clock.now)
    assert restarted.term == holder.term + 1


async def test_given_up_lease_is_free(store: FakeStore, clock: Clock) -> None:
    """A planned stop hands the lease on without a wait."""
    holder, member = make_assigner(store, "a"), make_assigner(store, "b")
    await async_step(holder, clock)
    await holder.async_give_up()
    assert not holder.is_held(clock.now)
    await async_step(member, clock)
    assert member.is_held(clock.now)


@pytest.mark.parametrize("loses_answers", [False, True])
async def test_holder_goes_on_under_its_next_term(
    store: FakeStore, clock: Clock, *, loses_answers: bool
) -> None:
    """A holder whose fences are scarce begins a term without giving the lease up."""
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    term = holder.term
    holder.wants_next_term = True
    store.loses_answers = loses_answers
    await async_step(holder, clock)
    assert holder.term == term + 1
    assert holder.is_held(clock.now)
    assert not holder.wants_next_term
    await async_step(holder, clock)
    assert holder.term == term + 1


async def test_next_term_that_was_not_written_costs_no_lease(
    store: FakeStore, clock: Clock
) -> None:
    """Symptom: a holder gave up a lease that was its own.

    Sequence: its renewal under the next term met a conflict with an earlier renewal of
    its own, whose answer had been lost. Cause: the term that stood was not the one
    written, which was taken for another holder's.
    """
    holder = make_assigner(store, "a")
    await async_step(holder, clock)
    store.revision += 1
    holder.wants_next_term = True
    await async_step(holder, clock)
    assert holder.is_held(clock.now)
    assert holder.wants_next_term
    await async_step(holder, clock)
    assert not holder.wants_next_term
    assert holder.is_held(clock.now)


async def test_restarted_holder_takes_its_lease_once_it_is_configured(
    store: FakeStore, clock: Clock
) -> None:
    """After a loss of power of all, every key waited for the second look."""
    before = make_assigner(store, "a")
    await async_step(before, clock)
    again = make_assigner(store, "a", is_willing=False)
    running = asyncio.create_task(again.async_run())
    try:
        await asyncio.sleep(0.01)
        assert not again.is_held(clock.now)
        again.note_willing()
        await asyncio.sleep(0.01)
        assert again.is_held(clock.now)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def test_candidate_looks_again_when_its_turn_comes(
    store: FakeStore, clock: Clock
) -> None:
    """A free lease stood untaken for a whole pause between two looks."""
    holder = make_assigner(store, "z")
    holder.members = ("z", "y", "a")
    await async_step(holder, clock)
    await async_step(holder, clock)
    candidate = make_assigner(store, "a")
    await async_step(candidate, clock)
    clock.now += LEASE_TIME + LEASE_MARGIN + 0.01
    pause = await candidate._async_poll(clock.now)
    assert not candidate.is_held(clock.now)
    assert pause == pytest.approx(2 * ELECTION_DELAY_PER_RANK)
