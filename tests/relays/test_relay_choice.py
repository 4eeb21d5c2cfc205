"""Tests of the choice of the instance that passes a request on."""

from __future__ import annotations

from collections import Counter

import pytest

from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_choice import (
    BUSY_PAUSE,
    MAX_REQUESTS_PER_RELAY,
    NO_LINK_PAUSE,
    RelayChoice,
)
from swiftpin.relays.relay_terms import RelayResult

NEAR = Relay(address="near", zone="z1")
NEAR_TOO = Relay(address="near-too", zone="z1")
FAR = Relay(address="far", zone="z2")


@pytest.fixture(name="choice")
def choice_fixture() -> RelayChoice:
    """Return a choice among two relays of the own zone and one of another."""
    choice = RelayChoice("z1")
    choice.set_relays([FAR, NEAR, NEAR_TOO])
    return choice


def test_requests_are_spread_over_relays_with_the_own_zone_first(
    choice: RelayChoice,
) -> None:
    """The load of a zone that is cut off must not fall on one instance."""
    chosen: Counter[str] = Counter()
    for _ in range(10):
        relay = choice.choose("t", (), 0.0)
        assert relay is not None
        choice.begin(relay)
        chosen[relay.address] += 1
    assert chosen == {"near": 4, "near-too": 4, "far": 2}


def test_relays_without_requests_are_used_in_turn(choice: RelayChoice) -> None:
    """Short requests seldom overlap, and would all go to the same relay."""
    chosen: Counter[str] = Counter()
    for _ in range(10):
        relay = choice.choose("t", (), 0.0)
        assert relay is not None
        choice.begin(relay)
        choice.end(relay)
        chosen[relay.address] += 1
    assert chosen == {"near": 5, "near-too": 5}


def test_load_of_a_relay_is_bounded(choice: RelayChoice) -> None:
    """An instance that passes requests on needs room for its own callers."""
    for _ in range(3 * MAX_REQUESTS_PER_RELAY):
        relay = choice.choose("t", (), 0.0)
        assert relay is not None
        choice.begin(relay)
    assert choice.choose("t", (), 0.0) is None
    choice.end(FAR)
    assert choice.choose("t", (), 0.0) is FAR


def test_relay_without_a_link_is_left_out_for_that_target_only(
    choice: RelayChoice,
) -> None:
    """A cut may cover some targets only."""
    choice.record_refusal(NEAR, "t", RelayResult.NO_LINK, 0.0)
    assert choice.choose("t", (), 0.1) is NEAR_TOO
    assert choice.choose("other", (), 0.1) is NEAR
    assert choice.choose("t", (), NO_LINK_PAUSE) is NEAR


def test_target_that_no_relay_reaches_is_given_up(choice: RelayChoice) -> None:
    """Requests for a target that is down must not visit every relay."""
    choice.record_refusal(NEAR, "t", RelayResult.NO_LINK, 0.0)
    choice.record_refusal(FAR, "t", RelayResult.NO_LINK, 0.1)
    assert choice.choose("t", (), 0.2) is None
    assert choice.choose("other", (), 0.2) is NEAR
    assert choice.choose("t", (), NO_LINK_PAUSE + 0.05) is not None


def test_busy_relay_is_left_out_for_a_while(choice: RelayChoice) -> None:
    """A relay that stops refuses every request."""
    choice.record_refusal(NEAR, "t", RelayResult.BUSY, 0.0)
    assert choice.choose("t", (), 0.1) is NEAR_TOO
    assert choice.choose("t", ("near-too",), 0.1) is FAR
    assert choice.choose("t", (), BUSY_PAUSE) is NEAR
