"""Rules that a model may leave out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeWeakness:
    """Each flag drops one rule; the model must then find a violation."""

    grants_before_recording: bool = False
    """The former owner is not in the record while it may hold the keys."""

    skips_wait: bool = False
    """Keys are granted on although a release had no answer and grants still run."""

    clock_stops_in_pause: bool = False
    """The lease is counted on a clock that stands still while an instance is paused."""

    ignores_own_vote: bool = False
    """A member takes the lease over though it voted not to."""

    forgets_earlier_grants: bool = False
    """A successor does not count what its predecessor may have granted."""

    release_keeps_fence: bool = False
    """A release does not raise the fence below which a target refuses late grants."""

    delivers_given_up_calls: bool = False
    """A grant that was given up may still arrive, and counts its time from then."""

    fence_outlives_connection: bool = False
    """A fence is sent again over a new connection, which may lead to a new life."""

    call_reaches_next_life: bool = False
    """A call that T had not carried out when it ended reaches its next life."""

    successor_renews_recorded_fence: bool = False
    """A successor renews under the fence that it finds in the record."""

    new_life_frees_keys: bool = False
    """A known restart of T counts as the end of all that was sent to its name."""

    lapsed_lease_counts_again: bool = False
    """A holder that told others of its lease's end goes on by a late vote."""
