"""Tests of the lease election."""

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
    """A store with one object, which can lose answers or be unavailable."""

    def __init__(self) -> None:
        self.content: object = None
        self.revision = 0
        self.is_unavailable = False
        self.loses_answers = False
        self.era = StoreEra()

    def copy(self) -> object:
        """Return a backup of the record."""
        return self.content

    def restore(self, backup: object) -> None:
        """Restore the record from a backup."""
        self.content = backup
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
        if self.is_unavailable:
            raise StoreUnavailableError("unavailable")
        self.era.observe(era_of(self.revision), 0.0)

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


def make_election(
    store: FakeStore, name: str, *, is_eligible: bool = True
) -> LeaseElection:
    """Return the election of a candidate without links to other instances."""
    election = LeaseElection(
        name=name,
        incarnation=f"{name}/1",
        peer="127.0.0.1:1",
        client=store,  # type: ignore[arg-type]  # fake with the calls made
        health=StoreHealth(),
        rng=Random(1),
        cpu_capacity=2.0,
        first_start=True,
        is_holder_alive=lambda holder: False,
        has_live_links=lambda: False,
    )
    if is_eligible:
        election.note_eligible()
    election.members = ("b", "a")
    return election


async def async_step(election: LeaseElection, clock: Clock) -> None:
    """Let an instance act once."""
    if election.is_held(clock.now):
        await election._async_renew()
    else:
        await election._async_poll(clock.now)


async def test_candidate_waits_until_the_lease_expires(
    store: FakeStore, clock: Clock
) -> None:
    """A lease is acquired only after it has expired, and never has two holders."""
    first, second = make_election(store, "a"), make_election(store, "b")
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


async def test_suspended_holder_does_not_assign(store: FakeStore, clock: Clock) -> None:
    """Two instances must not assign keys at the same time.

    A holder is suspended for longer than its lease, and another instance takes over.
    When the holder resumes, it must not rely on a clock that stops during suspensions.
    """
    holder = make_election(store, "a")
    await async_step(holder, clock)
    clock.now += LEASE_TIME + 5
    assert not holder.is_held(clock.now)


async def test_record_is_read_back_after_a_lost_answer(
    store: FakeStore, clock: Clock
) -> None:
    """A holder must not give up a lease that it has renewed.

    A renewal is written, but its answer is lost. The next attempt meets a conflict,
    which must not be mistaken for another holder.
    """
    holder = make_election(store, "a")
    await async_step(holder, clock)
    store.loses_answers = True
    clock.now += 1.0
    await async_step(holder, clock)
    clock.now += 1.0
    assert holder.is_held(clock.now)


async def test_votes_extend_the_lease_while_the_store_is_unavailable(
    store: FakeStore, clock: Clock
) -> None:
    """Keys must not lose their owners during a store outage.

    The store is unavailable for longer than the lease and the grants last together. The
    holder must continue to renew grants, since no other instance can acquire the lease.
    """
    holder = make_election(store, "a")
    await async_step(holder, clock)
    store.is_unavailable = True
    holder.extended_until = clock.now + LEASE_TIME + 2.0
    clock.now += LEASE_TIME + 1.0
    assert holder.is_held(clock.now)
    holder.extended_until = clock.now + 100.0
    clock.now += EXTENSION_LIMIT
    assert not holder.is_held(clock.now)


async def test_holder_with_votes_retries_less_often(
    store: FakeStore, clock: Clock
) -> None:
    """While the lease is valid each attempt matters; later a delay does no harm."""
    holder = make_election(store, "a")
    await async_step(holder, clock)
    store.is_unavailable = True
    holder.extended_until = clock.now + LEASE_TIME + 2.0
    retry_delay = await holder._async_renew()
    clock.now += LEASE_TIME + 0.1
    assert holder.is_held(clock.now)
    assert await holder._async_renew() > 2 * retry_delay


async def test_expired_lease_stays_expired_in_its_term(
    store: FakeStore, clock: Clock
) -> None:
    """Keys must not be granted under fences that other targets had before.

    The store rejects the holder's calls; its lease expires and its assigner stops. If
    votes that arrive later made the lease valid again, although others know that it has
    expired, a new assigner would start in the same term with the same fences.
    """
    holder = make_election(store, "a")
    await async_step(holder, clock)
    first_term = holder.term
    store.is_unavailable = True
    clock.now += LEASE_TIME + 1.0
    assert not holder.is_held(clock.now)
    assert holder.own_resigned_term(clock.now) == first_term
    holder.extended_until = clock.now + 1.0
    assert not holder.is_held(clock.now)
    store.is_unavailable = False
    # This renewal was in transit when the lease expired.
    await holder._async_renew()
    assert not holder.is_held(clock.now)
    await async_step(holder, clock)
    clock.now += 0.1
    await async_step(holder, clock)
    assert holder.is_held(clock.now)
    assert holder.term == first_term + 1


async def test_vote_delays_a_takeover(store: FakeStore, clock: Clock) -> None:
    """A member that has voted doesn't acquire an expired lease."""
    holder, member = make_election(store, "a"), make_election(store, "b")
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


async def test_non_member_waits_beyond_all_votes(
    store: FakeStore, clock: Clock
) -> None:
    """An instance that isn't asked for votes waits until no vote can be valid."""
    holder, non_member = make_election(store, "a"), make_election(store, "new")
    await async_step(holder, clock)
    await async_step(holder, clock)
    await async_step(non_member, clock)
    clock.now += LEASE_TIME + LEASE_MARGIN + 0.1
    await async_step(non_member, clock)
    assert not non_member.is_held(clock.now)
    clock.now += EXTENSION_LIMIT
    await async_step(non_member, clock)
    assert non_member.is_held(clock.now)


async def test_members_of_an_unanswered_renewal_must_vote(
    store: FakeStore, clock: Clock
) -> None:
    """A new member must not take over from a holder that relies on votes.

    A renewal lists the new member, but its answer is lost and the store becomes
    unavailable. Members in unanswered renewals must be asked to vote too.
    """
    holder = make_election(store, "a")
    await async_step(holder, clock)
    store.is_unavailable = True
    holder.members = ("a", "b", "new")
    await async_step(holder, clock)
    assert holder.voters == {"b", "new"}


async def test_resigned_lease_is_acquired_at_once(
    store: FakeStore, clock: Clock
) -> None:
    """No instance waits for a holder that is known to have stopped assigning keys."""
    holder, member = make_election(store, "a"), make_election(store, "b")
    await async_step(holder, clock)
    await async_step(member, clock)
    member.resigned_term = holder.term
    await async_step(member, clock)
    assert member.is_held(clock.now)


async def test_resigned_lease_is_left_to_members(
    store: FakeStore, clock: Clock
) -> None:
    """Weak instances must not acquire the lease one after the other.

    Without a delay for instances that aren't members in the record, one of them polls
    first after a holder resigned, acquires the lease, is overloaded and resigns too. In
    a fleet of 88 instances, 72 of them non-members, weak instances held the lease for
    2 s each during 14 s (terms 2 to 8), although 8 instances that were five times as
    strong were available.
    """
    holder = make_election(store, "a")
    listed_member, non_member = make_election(store, "b"), make_election(store, "new")
    for candidate in (holder, holder, listed_member, non_member):
        await async_step(candidate, clock)
    for candidate in (listed_member, non_member):
        candidate.resigned_term = holder.term
    await async_step(non_member, clock)
    clock.now += RELAXED_POLL_INTERVAL + POLL_INTERVAL
    await async_step(non_member, clock)
    assert not non_member.is_held(clock.now)
    await async_step(listed_member, clock)
    clock.now += POLL_INTERVAL
    await async_step(listed_member, clock)
    assert listed_member.is_held(clock.now)


async def test_resigned_lease_is_acquired_by_a_non_member_without_members(
    store: FakeStore, clock: Clock
) -> None:
    """All instances that are members in the record may be gone."""
    holder, non_member = make_election(store, "a"), make_election(store, "new")
    for candidate in (holder, holder, non_member):
        await async_step(candidate, clock)
    non_member.resigned_term = holder.term
    await async_step(non_member, clock)
    clock.now += 2.0
    await async_step(non_member, clock)
    assert non_member.is_held(clock.now)


async def test_restarted_holder_reacquires_its_lease_at_once(
    store: FakeStore, clock: Clock
) -> None:
    """A restarted process knows that its earlier incarnation has ended."""
    holder = make_election(store, "a")
    await async_step(holder, clock)
    restarted = make_election(store, "a")
    await async_step(restarted, clock)
    assert restarted.is_held(clock.now)
    assert restarted.term == holder.term + 1


async def test_given_up_lease_is_free(store: FakeStore, clock: Clock) -> None:
    """A planned stop passes the lease on without a delay."""
    holder, member = make_election(store, "a"), make_election(store, "b")
    await async_step(holder, clock)
    await holder.async_give_up()
    assert not holder.is_held(clock.now)
    await async_step(member, clock)
    assert member.is_held(clock.now)


@pytest.mark.parametrize("loses_answers", [False, True])
async def test_holder_continues_under_its_next_term(
    store: FakeStore, clock: Clock, *, loses_answers: bool
) -> None:
    """A holder that runs low on fences begins a term without giving the lease up."""
    holder = make_election(store, "a")
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


async def test_failed_change_of_term_keeps_the_lease(
    store: FakeStore, clock: Clock
) -> None:
    """A holder must not give up its own lease.

    Its renewal under the next term conflicts with its own earlier renewal, whose answer
    was lost. The recorded term differs from the written one, but the record must not be
    mistaken for another holder's.
    """
    holder = make_election(store, "a")
    await async_step(holder, clock)
    store.revision += 1
    holder.wants_next_term = True
    await async_step(holder, clock)
    assert holder.is_held(clock.now)
    assert holder.wants_next_term
    await async_step(holder, clock)
    assert not holder.wants_next_term
    assert holder.is_held(clock.now)


async def test_restarted_holder_acquires_its_lease_once_configured(
    store: FakeStore, clock: Clock
) -> None:
    """After a restart of all instances, keys must not wait for a second read."""
    previous = make_election(store, "a")
    await async_step(previous, clock)
    restarted = make_election(store, "a", is_eligible=False)
    running = asyncio.create_task(restarted.async_run())
    try:
        await asyncio.sleep(0.01)
        assert not restarted.is_held(clock.now)
        restarted.note_eligible()
        await asyncio.sleep(0.01)
        assert restarted.is_held(clock.now)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def test_candidate_polls_again_when_its_delay_is_over(
    store: FakeStore, clock: Clock
) -> None:
    """A free lease must not stay unused for a full poll interval."""
    holder = make_election(store, "z")
    holder.members = ("z", "y", "a")
    await async_step(holder, clock)
    await async_step(holder, clock)
    candidate = make_election(store, "a")
    await async_step(candidate, clock)
    clock.now += LEASE_TIME + LEASE_MARGIN + 0.01
    poll_delay = await candidate._async_poll(clock.now)
    assert not candidate.is_held(clock.now)
    assert poll_delay == pytest.approx(2 * ELECTION_DELAY_PER_RANK)
