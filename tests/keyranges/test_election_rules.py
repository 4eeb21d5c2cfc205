"""Tests of when it is an instance's turn to take the lease."""

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
RUN_OUT = 100.0 + LEASE_TIME + LEASE_MARGIN + 0.01


def test_member_waits_until_the_lease_has_run_out() -> None:
    """Clocks may differ by the margin."""
    assert not is_free(VIEW, "second", RUN_OUT - 0.02)
    assert is_free(VIEW, "second", RUN_OUT)


def test_who_is_not_named_waits_out_the_votes_too() -> None:
    """Nobody asks it for a vote, so a holder may go on without its knowledge."""
    assert not is_free(VIEW, "other", RUN_OUT)
    assert is_free(VIEW, "other", RUN_OUT + EXTENSION_LIMIT)


def test_vote_binds_its_giver() -> None:
    """A vote outlasts the lease."""
    view = replace(VIEW, own_vote_until=RUN_OUT + 1)
    assert not is_free(view, "second", RUN_OUT)


@pytest.mark.parametrize("name", ["second", "other"])
def test_lease_that_was_given_up_is_free_at_once(name: str) -> None:
    """Its holder assigns no more, whatever its record says."""
    assert is_free(GIVEN_UP, name, 100.0)


def test_given_up_lease_is_left_to_the_stronger() -> None:
    """By rank among those named; the others come after all of them."""
    delays = [
        election_delay(GIVEN_UP, name, 2.0)
        for name in ("strong", "second", "third", "other")
    ]
    assert delays == sorted(set(delays))
    assert delays[0] == 0.0


def test_nobody_is_waited_for_where_nobody_is_named() -> None:
    """A record without members is the first of a fleet."""
    view = replace(GIVEN_UP, record=replace(RECORD, members=()))
    assert election_delay(view, "other", 2.0) == 0.0


def test_strong_instance_goes_first_before_there_is_a_record() -> None:
    """Each goes by its own strength then."""
    view = replace(VIEW, record=None)
    assert election_delay(view, "a", 2.0) == 0.0
    assert election_delay(view, "b", 0.5) == pytest.approx(1.0)


def test_looks_at_a_lost_lease_do_not_grow_with_the_fleet() -> None:
    """All of a large fleet read the lease four times a second at each loss of it."""
    assert poll_interval(VIEW, "second", 1.0, is_linked=True) == POLL_INTERVAL
    assert 300 / poll_interval(VIEW, "other", 1.0, is_linked=True) < 200
    assert poll_interval(VIEW, "other", 1.0, is_linked=False) < 1.0


def test_strong_instances_of_a_new_fleet_look_often() -> None:
    """Nobody is named yet; the weak let the strong go first anyway."""
    view = replace(VIEW, record=None)
    assert poll_interval(view, "other", 2.0, is_linked=True) == POLL_INTERVAL
    assert POLL_INTERVAL < poll_interval(view, "other", 0.5, is_linked=True) < 1.0


@pytest.mark.parametrize("name", ["strong", "second", "other"])
@pytest.mark.parametrize("resigned_term", [0, 3])
def test_record_of_an_older_copy_frees_the_lease_late(
    name: str, resigned_term: int
) -> None:
    """A holder that the restored store had lost was not waited for."""
    view = replace(VIEW, era=1, resigned_term=resigned_term)
    assert not is_free(view, name, RUN_OUT + EXTENSION_LIMIT - 0.02)
    assert is_free(view, name, RUN_OUT + EXTENSION_LIMIT)


def test_missing_record_frees_the_lease_late_after_a_restore() -> None:
    """The copy may be from before there was a record."""
    view = replace(VIEW, record=None, era=1)
    assert is_free(view, "other", 100.0)
    view = replace(view, may_have_lost_record=True)
    assert not is_free(view, "other", RUN_OUT)
    assert is_free(view, "other", RUN_OUT + EXTENSION_LIMIT)


def test_terms_of_a_later_era_are_higher() -> None:
    """Targets refused the fences of a holder whose record was an older one."""
    assert next_term(7, 0) == 8
    assert next_term(7, 1) > next_term(500, 0)
    assert next_term(next_term(7, 1), 1) == next_term(7, 1) + 1
