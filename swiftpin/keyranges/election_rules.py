"""Rules on when an instance polls the lease and may acquire it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.const import (
    EXTENSION_LIMIT,
    LEASE_MARGIN,
    LEASE_TIME,
    TERMS_PER_ERA,
)
from swiftpin.keyranges.lease_record import LeaseRecord

POLL_INTERVAL: Final = 0.25
"""Seconds between two reads of the lease while its holder isn't known to be alive."""

RELAXED_POLL_INTERVAL: Final = 0.3
"""Seconds between two checks whether the holder is still alive, and between the renewal
attempts of a holder that relies on votes."""

NON_MEMBER_POLL_INTERVAL: Final = 0.75
"""Seconds between two reads by an instance that is not a member in the record, which
must wait longer before it may acquire the lease."""

LINKED_NON_MEMBER_POLL_INTERVAL: Final = 2.5
"""Seconds between two such reads while there are live links to other instances, which
report a new holder. In a fleet of hundreds, all instances start to read when a holder
is lost."""

SUFFICIENT_CPU_CAPACITY: Final = 1.5
"""CPU capacity, in standard cores, that is sufficient to assign the keys of hundreds of
targets."""

FIRST_ELECTION_DELAY_PER_CORE: Final = 1.0
"""Seconds of delay per core below `SUFFICIENT_CPU_CAPACITY` while there is no
record."""

ELECTION_DELAY_PER_RANK: Final = 0.03
"""Seconds of delay per stronger member, which needs a read and a write of the store."""

MAX_DETECTION_TIME: Final = RELAXED_POLL_INTERVAL + 1.2 * POLL_INTERVAL
"""Seconds within which a member notices that the lease is free and polls once more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseView:
    """What an instance knows about the lease; times are suspend-aware."""

    record: LeaseRecord | None
    """The last record read, None before the first one."""

    era: int
    """Newest known store era."""

    may_have_lost_record: bool
    """Whether the store may have lost an existing record."""

    resigned_term: int
    """Last term in which a holder is known to have stopped assigning keys."""

    unchanged_since: float
    """Time since which the record has been unchanged or missing."""

    own_vote_until: float
    """Time until which this instance has voted not to acquire the lease."""


@callback
def is_free(view: LeaseView, name: str, now: float) -> bool:
    """Return whether an instance may regard the lease as expired or given up.

    If the store was restored, an old record may hide a later holder and the members it
    asks for votes. The lease is free only once the lease of any such holder must have
    expired.
    """
    record = view.record
    may_be_outdated = (
        view.may_have_lost_record if record is None else record.era < view.era
    )
    if may_be_outdated:
        wait = LEASE_TIME + LEASE_MARGIN + EXTENSION_LIMIT
        return now - view.unchanged_since > wait
    if record is None:
        return True
    if record.holder.partition("/")[0] == name:
        # Held by an earlier incarnation, now terminated, or by this one, whose lease
        # has expired without another instance acquiring it.
        return True
    if _was_given_up(record, view.resigned_term):
        return True
    if now < view.own_vote_until:
        return False
    wait = LEASE_TIME + LEASE_MARGIN
    if name not in record.members:
        wait += EXTENSION_LIMIT
    return now - view.unchanged_since > wait


@callback
def poll_interval(
    view: LeaseView, name: str, cpu_capacity: float, *, has_live_links: bool
) -> float:
    """Return the seconds between two reads while the holder isn't known to be alive.

    `has_live_links` is set while any other instance is connected.
    """
    record = view.record
    if record is None:
        return POLL_INTERVAL + election_delay(view, name, cpu_capacity) / 2
    if not record.members or name in record.members:
        return POLL_INTERVAL
    if record.holder.partition("/")[0] == name:
        return POLL_INTERVAL
    return (
        LINKED_NON_MEMBER_POLL_INTERVAL if has_live_links else NON_MEMBER_POLL_INTERVAL
    )


@callback
def election_delay(view: LeaseView, name: str, cpu_capacity: float) -> float:
    """Return the seconds for which stronger instances may acquire a free lease first.

    Assigning keys to hundreds of targets takes most of a core. The record lists its
    members strongest first; without a record, the delay depends on the instance's own
    CPU capacity. An instance that is not a member lets all members poll first.
    Otherwise, with many such instances, the first of them to poll would acquire each
    lease that is given up, be overloaded and give it up again.
    """
    record = view.record
    if record is None:
        return (
            max(SUFFICIENT_CPU_CAPACITY - cpu_capacity, 0.0)
            * FIRST_ELECTION_DELAY_PER_CORE
        )
    if name in record.members:
        return record.members.index(name) * ELECTION_DELAY_PER_RANK
    if record.members and _was_given_up(record, view.resigned_term):
        return len(record.members) * ELECTION_DELAY_PER_RANK + MAX_DETECTION_TIME
    # There are no members, or all of them could have acquired the lease while this
    # instance waited for the votes to expire.
    return 0.0


@callback
def next_term(term: int, era: int) -> int:
    """Return the term after `term`, above all terms of earlier eras."""
    return max(term + 1, era * TERMS_PER_ERA)


@callback
def _was_given_up(record: LeaseRecord, resigned_term: int) -> bool:
    """Return whether the holder of a lease is known to have stopped assigning keys."""
    return not record.holder or resigned_term >= record.term
