"""Tests of the exclusive right to grant permits for limited targets."""

from __future__ import annotations

import math

import pytest

from swiftpin.permits.issuer_authority import (
    CONFIRMATION_TIME,
    TAKEOVER_WAIT,
    IssuerAuthority,
)
from swiftpin.permits.permit_issuers import PermitIssuers

OWN = "i0/1"
START = 100.0
TARGET = next(
    subject
    for subject in map(str, range(99))
    if PermitIssuers(
        term=1, number=1, peers_by_incarnation={OWN: "", "i1/1": ""}, members=2
    ).ranked(subject)[0]
    == OWN
)
"""A subject that this instance ranks first for, unless it is not in the list."""


def make_list(number: int, *names: str, term: int = 1) -> PermitIssuers:
    """Return a list of issuers."""
    return PermitIssuers(
        term=term,
        number=number,
        peers_by_incarnation=dict.fromkeys(names, ""),
        members=2,
    )


@pytest.fixture(name="authority")
def authority_fixture() -> IssuerAuthority:
    """Return the authority of an instance that has a confirmed first list."""
    authority = IssuerAuthority(OWN)
    authority.record_list(make_list(1, OWN, "i1/1"), START)
    return authority


def confirm(authority: IssuerAuthority, number: int, at: float, term: int = 1) -> None:
    """Confirm a list with a request sent at a time."""
    authority.record_confirmation(term, number, at)


def wait(authority: IssuerAuthority, now: float) -> float:
    """Return the seconds until the instance is authorized."""
    return authority.time_until_authorized(TARGET, now)


def test_issuer_without_a_list_is_not_authorized() -> None:
    """Guards against instances that issue permits by themselves after their start."""
    assert math.isinf(wait(IssuerAuthority(OWN), START))


def test_new_issuer_waits_until_earlier_lists_have_expired(
    authority: IssuerAuthority,
) -> None:
    """Failure: the former issuer still granted permits by an older list."""
    confirm(authority, 1, START)
    assert wait(authority, START) == pytest.approx(TAKEOVER_WAIT)
    confirm(authority, 1, START + 1.0)
    assert wait(authority, START + TAKEOVER_WAIT) == 0.0
    assert TAKEOVER_WAIT > CONFIRMATION_TIME


def test_authority_ends_without_confirmations(authority: IssuerAuthority) -> None:
    """Failure: an issuer behind a partition granted permits beside its successor."""
    confirm(authority, 1, START + 3.0)
    assert wait(authority, START + 3.0 + CONFIRMATION_TIME) == 0.0
    assert math.isinf(wait(authority, START + 3.1 + CONFIRMATION_TIME))


@pytest.mark.parametrize(("number", "term"), [(2, 1), (0, 1), (1, 2)])
def test_only_the_own_list_can_be_confirmed(
    authority: IssuerAuthority, number: int, term: int
) -> None:
    """Failure: a confirmation of another list extended the authority."""
    confirm(authority, number, START + 5.0, term)
    assert math.isinf(wait(authority, START + 5.0))


def test_issuer_that_stays_first_continues_at_once(authority: IssuerAuthority) -> None:
    """Guards against a pause whenever any other instance joins the list."""
    confirm(authority, 1, START + 3.0)
    authority.record_list(make_list(2, OWN), START + 3.1)
    assert wait(authority, START + 3.1) == 0.0


def test_issuer_waits_after_a_list_that_it_missed(authority: IssuerAuthority) -> None:
    """Failure: another issuer was first in a list that this instance never received."""
    confirm(authority, 1, START + 3.0)
    authority.record_list(make_list(3, OWN), START + 3.1)
    assert math.isinf(wait(authority, START + 3.1))
    confirm(authority, 3, START + 3.2)
    assert wait(authority, START + 3.2) == pytest.approx(TAKEOVER_WAIT - 0.1)


def test_issuer_waits_in_a_new_term(authority: IssuerAuthority) -> None:
    """Failure: the last holder of the lease had published a list that nobody knows."""
    confirm(authority, 1, START + 3.0)
    authority.record_list(make_list(2, OWN, term=2), START + 3.1)
    confirm(authority, 2, START + 3.2, term=2)
    assert wait(authority, START + 3.2) == pytest.approx(TAKEOVER_WAIT - 0.1)


def test_issuer_that_is_no_longer_first_stops_at_once(
    authority: IssuerAuthority,
) -> None:
    """Failure: the former issuer granted permits until its confirmation expired."""
    confirm(authority, 1, START + 3.0)
    authority.record_list(make_list(2, "i1/1"), START + 3.1)
    assert math.isinf(wait(authority, START + 3.1))
    authority.record_list(make_list(3, OWN), START + 3.2)
    confirm(authority, 3, START + 3.2)
    assert wait(authority, START + 3.2) == pytest.approx(TAKEOVER_WAIT)


def test_older_list_is_ignored(authority: IssuerAuthority) -> None:
    """Guards against a list that arrives late over another link."""
    authority.record_list(make_list(2, "i1/1"), START + 1.0)
    authority.record_list(make_list(1, OWN), START + 1.1)
    confirm(authority, 1, START + 5.0)
    assert math.isinf(wait(authority, START + 5.0))


def test_deputy_takes_over_without_a_pause() -> None:
    """Guards against a pause where two issuers at a time do no harm."""
    names = (OWN, "i1/1", "i2/1")
    first = make_list(1, *names)
    subject = next(it for it in map(str, range(99)) if first.ranked(it)[1] == OWN)
    authority = IssuerAuthority(OWN)
    authority.record_list(first, START)
    confirm(authority, 1, START + 3.0)
    now = START + 3.1
    assert authority.time_until_authorized(subject, now, max_issuers=2) == 0.0
    assert math.isinf(authority.time_until_authorized(subject, now))
    authority.record_list(make_list(2, OWN, first.ranked(subject)[2]), now)
    assert authority.time_until_authorized(subject, now, max_issuers=2) == 0.0
    assert authority.time_until_authorized(subject, now) == pytest.approx(TAKEOVER_WAIT)
