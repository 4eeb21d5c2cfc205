"""State of the model; times are ticks that are left."""

from __future__ import annotations

from typing import Final, NamedTuple

LEASE: Final = 2
WAIT: Final = LEASE + 1
HOLD: Final = 3
VOTE: Final = 2

FIRST: Final = 0
SECOND: Final = 1

KEPT: Final = 0
RECORDED: Final = 1
RELEASED: Final = 2
"""Stages of the one move from target T to target U, as its assigner knows them."""


class RangeWorld(NamedTuple):
    """Two instances, two targets, one range that may move from T to U once."""

    is_store_up: bool = True
    term: int = 1
    is_first_paused: bool = False
    first_lease: int = LEASE
    """How long the first instance believes in its lease."""

    first_vote: int = 0
    """How long the first instance counts on the second one's vote."""

    is_first_resigned: bool = False
    """Whether the first instance told the second one that its lease has ended."""

    second_vote: int = 0
    second_waited: int = 0
    second_leads: bool = False
    is_move_recorded: bool = False
    first_stage: int = KEPT
    second_stage: int = KEPT
    first_unsure: int = HOLD
    second_unsure: int = 0
    """How long each assigner believes that T may hold keys granted to it."""

    held_by_t: int = HOLD
    held_by_u: int = 0
    fence_seen_by_t: int = 0
    late_grant: int = 0
    """Time that a grant to T has left which is still on its way; its fence is 0."""
