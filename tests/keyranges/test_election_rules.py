"""Tests of the rules on polling and acquiring the lease."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.keyranges.const import EXTENSION_LIMIT, LEASE_MARGIN, LEASE_TIME
from swiftpin.keyranges.election_rules import (
    POLL_INTERVAL,
    LeaseView,
    election_delay,
    is_free,
    next_term,
    poll_interval,
)
from swiftpin.keyranges.lease_record import LeaseRecord

RECORD = LeaseRecord(
    holder="strong/1", peer="", term=3, renewal=7, members=("strong", "second", "third")
)
VIEW = LeaseView(
    record=RECORD,
    era=0,
    may_have_lost_record=False,
    resigned_term=0,
    unchanged_since=100.0,
    own_vote_until=0.0,
)
GIVEN_UP = replace(VIEW, resigned_term=3)
EXPIRED_AT = 100.0 + LEASE_TIME + LEASE_MARGIN + 0.01


def test_member_waits_until_the_lease_has_expired() -> None:
    """The margin covers clock drift."""
    assert not is_free(VIEW, "second", EXPIRED_AT - 0.02)
    assert is_free(VIEW, "second", EXPIRED_AT)


def test_non_member_waits_for_votes_to_expire() -> None:
    """Votes of others may extend a lease without a non-member's knowledge."""
    assert not is_free(VIEW, "other", EXPIRED_AT)
    assert is_free(VIEW, "other", EXPIRED_AT + EXTENSION_LIMIT)


def test_vote_delays_its_voter() -> None:
    """The vote is still valid after the lease has expired."""
    view = replace(VIEW, own_vote_until=EXPIRED_AT + 1)
    assert not is_free(view, "second", EXPIRED_AT)


@pytest.mark.parametrize("name", ["second", "other"])
def test_lease_that_was_given_up_is_free_at_once(name: str) -> None:
    """The holder has stopped assigning keys, even if the record still names it."""
    assert is_free(GIVEN_UP, name, 100.0)


def test_given_up_lease_is_left_to_stronger_instances() -> None:
    """Members are delayed by their rank; other instances come after all members."""
    delays = [
        election_delay(GIVEN_UP, name, 2.0)
        for name in ("strong", "second", "third", "other")
    ]
    assert delays == sorted(set(delays))
    assert delays[0] == 0.0


def test_record_without_members_causes_no_delay() -> None:
    """A record without members is the first record of a fleet."""
    view = replace(GIVEN_UP, record=replace(RECORD, members=()))
    assert election_delay(view, "other", 2.0) == 0.0


def test_strong_instance_goes_first_without_a_record() -> None:
    """Without a record the delay depends on the CPU capacity."""
    view = replace(VIEW, record=None)
    assert election_delay(view, "a", 2.0) == 0.0
    assert election_delay(view, "b", 0.5) == pytest.approx(1.0)


def test_read_rate_of_a_lost_lease_is_limited_in_large_fleets() -> None:
    """Guards against four reads per second by each instance of a large fleet."""
    assert poll_interval(VIEW, "second", 1.0, has_live_links=True) == POLL_INTERVAL
    assert 300 / poll_interval(VIEW, "other", 1.0, has_live_links=True) < 200
    assert poll_interval(VIEW, "other", 1.0, has_live_links=False) < 1.0


def test_strong_instances_of_a_new_fleet_poll_often() -> None:
    """There are no members yet, and weak instances are delayed in any case."""
    view = replace(VIEW, record=None)
    assert poll_interval(view, "other", 2.0, has_live_links=True) == POLL_INTERVAL
    assert POLL_INTERVAL < poll_interval(view, "other", 0.5, has_live_links=True) < 1.0


@pytest.mark.parametrize("name", ["strong", "second", "other"])
@pytest.mark.parametrize("resigned_term", [0, 3])
def test_restored_record_delays_the_lease(name: str, resigned_term: int) -> None:
    """A holder whose record was lost by the restore may still have a valid lease."""
    view = replace(VIEW, era=1, resigned_term=resigned_term)
    assert not is_free(view, name, EXPIRED_AT + EXTENSION_LIMIT - 0.02)
    assert is_free(view, name, EXPIRED_AT + EXTENSION_LIMIT)


def test_missing_record_delays_the_lease_after_a_restore() -> None:
    """The backup may be older than the first record."""
    view = replace(VIEW, record=None, era=1)
    assert is_free(view, "other", 100.0)
    view = replace(view, may_have_lost_record=True)
    assert not is_free(view, "other", EXPIRED_AT)
    assert is_free(view, "other", EXPIRED_AT + EXTENSION_LIMIT)


def test_terms_of_later_eras_are_higher() -> None:
    """Guards against fences that targets refuse after the store was restored."""
    assert next_term(7, 0) == 8
    assert next_term(7, 1) > next_term(500, 0)
    assert next_term(next_term(7, 1), 1) == next_term(7, 1) + 1
