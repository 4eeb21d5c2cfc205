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

FENCES_A_TERM: Final = 4
"""Fences of one assigner: the last is that of the move, the others are for T."""

T_BEFORE: Final = 0
T_AFTER: Final = 1
U: Final = 2
"""Who may hold the range: target T before and after its restart, or target U."""


class RangeWorld(NamedTuple):
    """Two instances, two targets, one range that may move from T to U once.

    T may start again once, at any time, under its name and at its address.
    """

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

    first_fence: int = 1
    second_fence: int = FENCES_A_TERM
    """Last fence for T that each assigner took."""

    is_first_connected: bool = True
    is_second_connected: bool = False
    """Whether the connection over which that fence was sent is open. It leads to the
    present life of T; a restart breaks it, and so does a call without an answer."""

    t_life: int = T_BEFORE
    held_by_t: int = HOLD
    """Time that T's present life holds the range for; an earlier one holds nothing."""

    held_by_u: int = 0
    fence_seen_by_t: int = 1
    late_grant: int = 0
    """Time that a grant to T has left which has arrived but is not carried out yet."""

    late_fence: int = 0
    top_fence: int = 1
    top_holder: int = T_BEFORE
    """Highest fence under which anyone took the range, and who that was."""

    is_fence_reused: bool = False
    """Whether anyone took the range under a fence not above all that others had."""
