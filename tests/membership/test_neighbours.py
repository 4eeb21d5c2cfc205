"""Tests of the choice of neighbours and watchers."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from swiftpin.membership.instance_info import InstanceInfo
from swiftpin.membership.neighbours import choose_neighbours, choose_watchers


def make_infos(*names: str, leaving: str = "") -> dict[str, InstanceInfo]:
    """Return instances by name; the zone of `x-1` is `x`."""
    return {
        name: InstanceInfo(
            name=name,
            zone=name.partition("-")[0],
            leaving=name == leaving,
            peer="",
            forward="",
            admin="",
        )
        for name in names
    }


ZONES = [f"{zone}-{number}" for zone in "abcd" for number in range(3)]


def test_most_neighbours_are_in_other_zones() -> None:
    """Of three neighbours two are in two other zones."""
    infos_by_name = make_infos(*ZONES)
    for seed in range(50):
        chosen = choose_neighbours(Random(seed), "a", infos_by_name, 3)
        zones = [infos_by_name[name].zone for name in chosen[:2]]
        assert len(set(chosen)) == 3
        assert "a" not in zones
        assert len(set(zones)) == 2


@given(st.sets(st.sampled_from(ZONES)), st.integers(0, 5), st.integers())
def test_as_many_neighbours_as_there_are(
    names: set[str], count: int, seed: int
) -> None:
    """Few instances are all chosen, each once."""
    chosen = choose_neighbours(Random(seed), "a", make_infos(*sorted(names)), count)
    assert len(chosen) == len(set(chosen)) == min(count, len(names))


def test_same_seed_chooses_the_same() -> None:
    """The choice can be repeated."""
    infos_by_name = make_infos(*ZONES)
    first = choose_neighbours(Random(5), "a", infos_by_name, 3)
    assert first == choose_neighbours(Random(5), "a", infos_by_name, 3)


def test_a_lost_watcher_is_replaced_by_one_other() -> None:
    """The remaining watcher stays."""
    names = [f"a-{number}" for number in range(6)]
    before = choose_watchers("a", make_infos(*names), 2)
    lost = min(before)
    names.remove(lost)
    after = choose_watchers("a", make_infos(*names), 2)
    assert before - {lost} < after
    assert len(after) == 2


def test_a_leaving_instance_does_not_watch() -> None:
    """A planned stop hands the watch to another before it ends."""
    names = [f"a-{number}" for number in range(3)]
    leaving = min(choose_watchers("a", make_infos(*names), 2))
    watchers = choose_watchers("a", make_infos(*names, leaving=leaving), 2)
    assert leaving not in watchers
    assert len(watchers) == 2


def test_a_zone_that_leaves_altogether_still_watches() -> None:
    """The last instance of a zone watches until it ends."""
    assert choose_watchers("a", make_infos("a-0", leaving="a-0"), 2) == {"a-0"}
