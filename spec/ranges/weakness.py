"""Rules of the protocol that the model can omit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeWeakness:
    """Each flag omits one rule, and the checker must then find a violation."""

    grants_before_recording: bool = False
    """Keys move before the record names the former owner, which may still hold them."""

    skips_wait: bool = False
    """Keys are granted to U after an unanswered release while T's grants still run."""

    clock_stops_in_pause: bool = False
    """The lease is timed by a clock that stops while the instance is paused."""

    ignores_own_vote: bool = False
    """An instance takes over the lease although it voted not to."""

    forgets_earlier_grants: bool = False
    """A successor ignores grants that its predecessor may have sent."""

    release_keeps_fence: bool = False
    """A release does not raise the target's fence, so late grants aren't refused."""

    delivers_given_up_calls: bool = False
    """An abandoned grant may still arrive, and its time counts from the arrival."""

    fence_outlives_connection: bool = False
    """A fence is reused on a new connection, which may lead to a new life."""

    call_reaches_next_life: bool = False
    """A call that T had not executed before its restart reaches its next life."""

    successor_renews_recorded_fence: bool = False
    """A successor renews grants with the fence from the record."""

    new_life_frees_keys: bool = False
    """A known restart of T counts as the end of all calls sent to it."""

    lapsed_lease_counts_again: bool = False
    """A holder that announced the end of its lease continues after a late vote."""

    trusts_restored_record: bool = False
    """A successor relies on a record from before a restore, which may lack a move."""

    skips_silent_target: bool = False
    """A successor in doubt grants keys although a target did not answer its release."""
