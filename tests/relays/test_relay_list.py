"""Tests of which relays an instance is told of."""

from __future__ import annotations

from collections import Counter

from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_list import MAX_RELAYS, RelayCandidate, select_relays


def make_candidate(
    address: str, zone: str = "z1", lost_links: int = 0, *, is_stopping: bool = False
) -> RelayCandidate:
    """Return a candidate."""
    return RelayCandidate(
        relay=Relay(address=address, zone=zone),
        lost_links=lost_links,
        is_stopping=is_stopping,
    )


def select(candidates: list[RelayCandidate], asker: str = "own") -> list[str]:
    """Return the addresses of the relays for an instance in zone `z1`."""
    relays = select_relays(candidates, asker=asker, zone="z1", target_count=20)
    return [relay.address for relay in relays]


def test_instances_that_are_cut_off_or_stopping_are_no_relays() -> None:
    """Each request to one would only be refused."""
    candidates = [
        make_candidate("own"),
        make_candidate("cut", lost_links=19),
        make_candidate("stopping", is_stopping=True),
        make_candidate(""),
        make_candidate("some-targets-down", lost_links=3),
    ]
    assert select(candidates) == ["some-targets-down"]


def test_relays_of_the_own_zone_come_first() -> None:
    """Bytes between zones cost money and time."""
    candidates = [make_candidate(f"far{number}", "z2") for number in range(20)]
    candidates += [make_candidate("near1"), make_candidate("near2")]
    relays = select(candidates)
    assert len(relays) == MAX_RELAYS
    assert set(relays[:2]) == {"near1", "near2"}


def test_relays_are_spread_over_the_instances_that_ask() -> None:
    """With a whole zone cut off all of its instances ask for others' relays."""
    candidates = [make_candidate(f"far{number}", "z2") for number in range(48)]
    counts: Counter[str] = Counter()
    for number in range(24):
        counts.update(select(candidates, asker=f"own{number}"))
    assert max(counts.values()) <= 3 * sum(counts.values()) / 48
