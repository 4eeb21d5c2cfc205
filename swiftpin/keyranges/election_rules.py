"""When it is an instance's turn to take the lease."""

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
"""Seconds between two looks at the lease while its holder is not heard of."""

RELAXED_POLL_INTERVAL: Final = 0.3
"""Seconds between two checks whether the holder is still heard of."""

NON_MEMBER_POLL_INTERVAL: Final = 0.75
"""Seconds between two looks of an instance that may not take the lease soon, since the
record does not name it."""

LINKED_NON_MEMBER_POLL_INTERVAL: Final = 2.5
"""Seconds between two such looks while other instances are heard, which tell of a new
holder: in a fleet of hundreds all look at once when one is lost."""

SUFFICIENT_STRENGTH: Final = 1.5
"""Strength, in usual cores, that suits an assigner of hundreds of targets."""

FIRST_ELECTION_DELAY_PER_CORE: Final = 1.0
"""Seconds for each core that an instance lacks, at the first start only."""

ELECTION_DELAY_PER_RANK: Final = 0.03
"""Seconds for each stronger member: a read and a write of the store."""

MAX_DETECTION_TIME: Final = RELAXED_POLL_INTERVAL + 1.2 * POLL_INTERVAL
"""Seconds within which a member sees that the lease is free, and looks once more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseView:
    """What an instance knows of the lease; times are suspend-aware."""

    record: LeaseRecord | None
    """The record last read, None before there is one."""

    era: int
    """Era of the store as far as it is known."""

    may_have_lost_record: bool
    """Whether the store may have lost a record that was there."""

    resigned_term: int
    """Last term for which a holder said that it assigns keys no more."""

    unchanged_since: float
    """Since when the record has not changed, or has been missing."""

    own_vote_until: float
    """Until when this instance has voted not to take over."""


@callback
def is_free(view: LeaseView, name: str, now: float) -> bool:
    """Return whether the lease has run out, or was given up, for an instance.

    A record from before the store was restored may hide a later holder, and whom that
    one asks for votes: it frees the lease only when every such holder has run out.
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
        # An earlier incarnation of this one, so it has ended; or a lapsed lease of
        # this incarnation that nobody took.
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
    view: LeaseView, name: str, strength: float, *, is_linked: bool
) -> float:
    """Return the seconds between two looks at a lease whose holder is not heard.

    `is_linked` tells whether any other instance is heard.
    """
    record = view.record
    if record is None:
        return POLL_INTERVAL + election_delay(view, name, strength) / 2
    if not record.members or name in record.members:
        return POLL_INTERVAL
    if record.holder.partition("/")[0] == name:
        return POLL_INTERVAL
    return LINKED_NON_MEMBER_POLL_INTERVAL if is_linked else NON_MEMBER_POLL_INTERVAL


@callback
def election_delay(view: LeaseView, name: str, strength: float) -> float:
    """Return the seconds for which a free lease is left to stronger instances.

    Assigning takes most of a core where there are hundreds of targets. Members are
    named strongest first; before there is a record each goes by itself. One that is
    not named lets all of them look first: there may be many of its kind, and the first
    of them to look would take each lease that is given up, find the work too much and
    give it up again.
    """
    record = view.record
    if record is None:
        return max(SUFFICIENT_STRENGTH - strength, 0.0) * FIRST_ELECTION_DELAY_PER_CORE
    if name in record.members:
        return record.members.index(name) * ELECTION_DELAY_PER_RANK
    if record.members and _was_given_up(record, view.resigned_term):
        return len(record.members) * ELECTION_DELAY_PER_RANK + MAX_DETECTION_TIME
    # Nobody is named, or all who are had their turn while it waited out the votes.
    return 0.0


@callback
def next_term(term: int, era: int) -> int:
    """Return the term after one, above all terms of the eras before."""
    return max(term + 1, era * TERMS_PER_ERA)


@callback
def _was_given_up(record: LeaseRecord, resigned_term: int) -> bool:
    """Return whether the holder of a lease said that it assigns keys no more."""
    return not record.holder or resigned_term >= record.term
