"""Rules of the ownership protocol, by the names of docs/design/ownership.md.

The model in `spec/` states the same rules under the same names.
"""

from __future__ import annotations

from collections.abc import Mapping
import math
from typing import Final

from swiftpin.ownership.cooperative_confirmation import CooperativeConfirmation
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.majority_confirmation import MajorityConfirmation
from swiftpin.ownership.predecessor import Predecessor
from swiftpin.ownership.timing import Timing

MIN_FENCED_TARGETS: Final = 3
"""Targets below which a group has no useful majority."""

SLICE_TERMS_PER_LEASE: Final = 65536

Confirmation = MajorityConfirmation | CooperativeConfirmation


def is_fenced_group(targets: int, *, checks_grants: bool) -> bool:
    """Return whether the group's holder is confirmed by its targets."""
    return checks_grants and targets >= MIN_FENCED_TARGETS


def majority_at(
    acknowledged_at_by_target: Mapping[str, float], targets: frozenset[str]
) -> float:
    """Return the time since which a majority has acknowledged, -inf if none has."""
    times = sorted(
        (acknowledged_at_by_target.get(target, -math.inf) for target in targets),
        reverse=True,
    )
    if not times:
        return -math.inf
    return times[len(times) // 2]


def confirmed_until(confirmation: Confirmation, timing: Timing) -> float:
    """Return the time after which the holder may neither grant nor send.

    A paused or cut-off holder would otherwise act on a lease that another instance
    has taken; one would see two holders of one group in the logs. The limit counts
    from before the confirming message was sent, so that a pause itself is counted.
    """
    match confirmation:
        case MajorityConfirmation():
            oldest = min(
                majority_at(confirmation.acknowledged_at_by_target, targets)
                for targets in confirmation.target_sets
            )
            return oldest + timing.holder_limit
        case CooperativeConfirmation():
            by_peers = confirmation.at + timing.holder_limit
            return min(by_peers, confirmation.store_at + timing.outage_limit)


def confirmed(confirmation: Confirmation, timing: Timing, now: float) -> bool:
    """Return whether the holder may grant and send at `now`."""
    return now < confirmed_until(confirmation, timing)


def acknowledge(
    known: GroupRecord | None, instance_id: str, sender: str, term: int
) -> bool:
    """Return whether `instance_id` may confirm `sender` as holder at `term`.

    An acknowledgement of a cooperative group promises not to take over for a while,
    so it is given only under the very record that names both instances: one that took
    over, or was replaced as successor, must not keep the old holder alive.
    """
    if known is None:
        return False
    if known.term != term or known.holder != sender:
        return False
    return known.successor == instance_id


def successor_may_take_over(
    last_acknowledged: float, timing: Timing, now: float
) -> bool:
    """Return whether the promise of the last acknowledgement has run out."""
    wait = timing.holder_limit + timing.slack(timing.holder_limit)
    return now > last_acknowledged + wait


def may_use_reserved_term(last_heard: float, timing: Timing, now: float) -> bool:
    """Return whether a takeover without the store may use the reserved term.

    A successor that has been cut off for long may remember a record that was
    replaced since; only a recent heartbeat under it shows that it was current.
    """
    return now - last_heard < timing.reserved_term_memory


def next_store_term(known_term: int) -> int:
    """Return the term of the next change that the store orders.

    Stored terms are even; the odd term after each belongs to the successor of that
    record, for a takeover without the store.
    """
    return known_term + 2 - known_term % 2


def reserved_term(record_term: int) -> int:
    """Return the term under which the successor takes over without the store."""
    return record_term + 1


def first_slice_term(lease_term: int) -> int:
    """Return the lowest slice term that a holder of this term gives."""
    return lease_term * SLICE_TERMS_PER_LEASE


def next_slice_term(slice_term: int, lease_term: int) -> int:
    """Return the slice's term after a move, above all that earlier holders gave."""
    return max(slice_term + 1, first_slice_term(lease_term))


def confirmed_since(confirmation: Confirmation, moment: float) -> bool:
    """Return whether what confirms the holder was all sent after `moment`.

    Who acts because a wait has ended needs this: acknowledgements from before may
    stand while a later holder has fenced a majority and extended the very grants
    that were waited for. One would see a slice with two owners.
    """
    match confirmation:
        case MajorityConfirmation():
            return all(
                majority_at(confirmation.acknowledged_at_by_target, targets) > moment
                for targets in confirmation.target_sets
            )
        case CooperativeConfirmation():
            return confirmation.at > moment


def lapse_end(limit: float, timing: Timing) -> float:
    """Return when grants that end by `limit` of our clock have surely ended."""
    return limit + timing.slack(timing.grant_ttl)


def lapsed(limit: float, timing: Timing, now: float) -> bool:
    """Return whether grants that end by `limit` of our clock have surely ended."""
    return now > lapse_end(limit, timing)


def predecessor_end(predecessor: Predecessor, timing: Timing) -> float:
    """Return when nothing that earlier holders granted can be in force any more.

    Needed for targets that could not be fenced: an earlier holder may have renewed
    there until its own limit. Without the wait, a slice would have two owners.
    """
    length = predecessor.patience + timing.grant_ttl
    return predecessor.disabled_at + length + timing.slack(length)
