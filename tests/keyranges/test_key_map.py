"""Tests of key maps and their changes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from swiftpin.keyranges.const import KEY_COUNT
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.router.fleet_messages import (
    decode_key_map,
    decode_owner_changes,
    encode_key_map,
    encode_key_map_change,
)


def make_map(number: int, owners_by_first: dict[int, str]) -> KeyMap:
    """Return a map in which target "a" owns the first range by default."""
    all_owners = {0: "a", **owners_by_first}
    firsts = tuple(sorted(all_owners))
    return KeyMap(
        service="desk",
        term=3,
        number=number,
        firsts=firsts,
        owners=tuple(all_owners[first] for first in firsts),
    )


MAPS = st.dictionaries(
    st.integers(1, KEY_COUNT - 1), st.sampled_from(("a", "b", "")), max_size=8
)


@given(
    before=MAPS,
    after=MAPS,
    sampled_keys=st.lists(st.integers(0, KEY_COUNT - 1), min_size=5),
)
def test_changes_lead_from_one_map_to_the_next(
    before: dict[int, str], after: dict[int, str], sampled_keys: list[int]
) -> None:
    """Applying the changes gives the same owners as the complete map."""
    old, new = make_map(1, before), make_map(2, after)
    item = encode_key_map_change(new, new.changes_since(old))
    changed = old.with_changes(decode_owner_changes(item.key_map_change))
    assert changed.number == new.number
    for key in (*sampled_keys, *new.firsts, *old.firsts, KEY_COUNT - 1):
        assert changed.owner_of(key) == new.owner_of(key)


def test_key_map_round_trip() -> None:
    """A map is unchanged by encoding and decoding."""
    key_map = make_map(4, {10: "b", 20: ""})
    assert decode_key_map(encode_key_map(key_map).key_map) == key_map


def test_higher_term_wins_over_higher_number() -> None:
    """A new assigner numbers its maps from 1; they replace all earlier maps."""
    old = make_map(9, {})
    new = KeyMap(service="desk", term=4, number=1, firsts=(0,), owners=("b",))
    assert new.is_newer_than(old)
    assert not old.is_newer_than(new)
