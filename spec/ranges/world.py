"""State of the model; all times are remaining ticks."""

from __future__ import annotations

from typing import Final, NamedTuple

LEASE: Final = 2
WAIT: Final = LEASE + 1
HOLD: Final = 3
VOTE: Final = 2

FIRST: Final = 0
SECOND: Final = 1

UNRECORDED: Final = 0
RECORDED: Final = 1
RELEASED: Final = 2
"""Stages of the move from target T to target U, as known to an assigner."""

IN_DOUBT: Final = 3
"""Stage of a successor whose record may lack a move that the first instance made."""

FENCES_PER_TERM: Final = 4
"""Fences of one assigner: the last one is for the move, the others are for T."""

T_BEFORE: Final = 0
T_AFTER: Final = 1
U: Final = 2
"""Possible holders of the range: T before and after its restart, and U."""


class RangeWorld(NamedTuple):
    """Two instances, two targets and one range that may move from T to U once.

    T may restart once, at any time, under the same name and address.
    """

    is_store_up: bool = True
    term: int = 1
    is_first_paused: bool = False
    first_lease: int = LEASE
    """Time for which the first instance's lease is valid on its own clock."""

    first_vote: int = 0
    """Time for which the first instance relies on the second one's vote."""

    is_first_resigned: bool = False
    """Whether the first instance announced the end of its lease to the second one."""

    second_vote: int = 0
    second_waited: int = 0
    second_leads: bool = False
    is_move_recorded: bool = False
    was_restored: bool = False
    is_record_complete: bool = True
    """Whether the record is marked as one from after the last restore of the store."""

    first_stage: int = UNRECORDED
    second_stage: int = UNRECORDED
    first_possible_hold: int = HOLD
    second_possible_hold: int = 0
    """Time for which T may hold the range, as known to each assigner."""

    first_fence: int = 1
    second_fence: int = FENCES_PER_TERM
    """Last fence that each assigner used for T."""

    is_first_connected: bool = True
    is_second_connected: bool = False
    """Whether the connection used for that fence is open. It belongs to T's current
    life and is closed by a restart or an unanswered call."""

    t_life: int = T_BEFORE
    held_by_t: int = HOLD
    """Time for which T's current life holds the range; an earlier one holds nothing."""

    held_by_u: int = 0
    fence_seen_by_t: int = 1
    late_grant: int = 0
    """Remaining time of a grant that reached T but has not been executed yet."""

    late_fence: int = 0
    highest_fence: int = 1
    highest_fence_holder: int = T_BEFORE
    """Highest fence under which the range was acquired, and the holder that did so."""

    is_fence_reused: bool = False
    """Whether a holder acquired the range without a fence above all others' fences."""
