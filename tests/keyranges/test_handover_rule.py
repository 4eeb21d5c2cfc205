"""Tests of when the lease holder leaves the lease to another instance."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.keyranges.handover_rule import (
    CONFIRMATION_TIME,
    HANDOVER_INTERVAL,
    MAX_PAUSE,
    HandoverDecision,
    HandoverRule,
    HolderLinks,
)


@pytest.fixture(name="rule")
def rule_fixture() -> HandoverRule:
    """Return a rule."""
    return HandoverRule()


def make_links(
    own_faults: int, witnessed: int, least_of_others: int | None
) -> HolderLinks:
    """Return the numbers of lost links."""
    return HolderLinks(
        own_faults=own_faults, witnessed=witnessed, least_of_others=least_of_others
    )


def test_holder_that_is_cut_off_hands_over_once_that_is_confirmed(
    rule: HandoverRule,
) -> None:
    """Guards against grants that run out at targets that others reach."""
    links = make_links(20, 20, 0)
    assert rule.decide(links, 10.0) is HandoverDecision.PAUSE
    decision = rule.decide(links, 10.0 + CONFIRMATION_TIME)
    assert decision is HandoverDecision.HAND_OVER


@pytest.mark.parametrize("links", [make_links(20, 20, None), make_links(20, 20, 15)])
def test_holder_stays_when_no_other_reaches_more(
    rule: HandoverRule, links: HolderLinks
) -> None:
    """Guards against a lease that passes round while targets are down for all."""
    for now in (10.0, 11.0):
        assert rule.decide(links, now) is HandoverDecision.KEEP


def test_keys_are_not_moved_on_the_word_of_the_holders_own_links(
    rule: HandoverRule,
) -> None:
    """Guards against moves from targets that nobody is known to have lost."""
    links = make_links(20, 0, 0)
    assert rule.decide(links, 10.0) is HandoverDecision.PAUSE
    assert rule.decide(links, 10.0 + MAX_PAUSE - 0.1) is HandoverDecision.PAUSE
    assert rule.decide(links, 10.0 + MAX_PAUSE) is HandoverDecision.KEEP


def test_lease_is_not_handed_over_again_and_again(rule: HandoverRule) -> None:
    """Guards against a lease that passes round while each reaches some targets."""
    links = make_links(5, 5, 1)
    rule.decide(links, 10.0)
    handed_over_at = 10.0 + CONFIRMATION_TIME
    assert rule.decide(links, handed_over_at) is HandoverDecision.HAND_OVER
    for now in (11.0, 12.0):
        assert rule.decide(links, now) is HandoverDecision.PAUSE
    later = handed_over_at + HANDOVER_INTERVAL
    assert rule.decide(links, later) is HandoverDecision.HAND_OVER


def test_lease_is_kept_while_the_store_is_away(rule: HandoverRule) -> None:
    """Guards against a lease that nobody can take over."""
    links = replace(make_links(20, 20, 0), is_store_lost=True)
    for now in (10.0, 11.0):
        assert rule.decide(links, now) is HandoverDecision.PAUSE


def test_links_that_recover_reset_the_confirmation(rule: HandoverRule) -> None:
    """Guards against handovers for single lost packets."""
    rule.decide(make_links(2, 2, 0), 10.0)
    rule.decide(make_links(0, 0, 0), 10.1)
    decision = rule.decide(make_links(2, 2, 0), 10.1 + CONFIRMATION_TIME)
    assert decision is HandoverDecision.PAUSE
