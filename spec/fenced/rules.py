"""Rules of the ownership protocol on a model's state, named as in ownership.md."""

from __future__ import annotations

from typing import Final

from spec.fenced.holder import EVERYBODY, NO_REPORTS, Holder
from spec.fenced.weakness import Weakness
from spec.times import HOLDER_LIMIT, NOT_BEGUN, PREDECESSOR_WAIT

SLICE_TERMS_PER_LEASE: Final = 4


def majority(holder: Holder) -> int:
    """Return how long a majority's acknowledgements still confirm the holder."""
    first, second, third = holder.acks
    if first > second:
        first, second = second, first
    return first if third < first else min(second, third)


def confirmed(holder: Holder) -> bool:
    """Return whether the holder may grant, renew and send."""
    return majority(holder) > 0


def confirmed_since(holder: Holder, end: int) -> bool:
    """Return whether a majority acknowledged what was sent after a wait ended.

    `end` is the wait's countdown, `-n` when it ended `n` ticks before the last tick.
    An older majority may follow a later holder, who has extended what the target
    reported.
    """
    return end <= 0 and majority(holder) >= HOLDER_LIMIT + end


def with_predecessors_noted(holder: Holder) -> Holder:
    """Return the holder with the wait begun once a majority is fenced."""
    if holder.wait == NOT_BEGUN and confirmed(holder):
        return holder._replace(wait=PREDECESSOR_WAIT)
    return holder


def predecessors_lapsed(holder: Holder, weakness: Weakness) -> bool:
    """Return whether nothing that earlier holders granted can be in force."""
    if weakness.no_wait:
        return True
    if weakness.stale_majority:
        return holder.wait <= 0
    return confirmed_since(holder, holder.wait)


def own_ended(holder: Holder, limit: int, weakness: Weakness) -> bool:
    """Return whether what the holder granted or found at a target has ended."""
    if weakness.stale_majority:
        return limit <= 0
    return confirmed_since(holder, limit)


def lapsed(holder: Holder, weakness: Weakness) -> bool:
    """Return whether the slice of its owner, which seems lost, is held by nobody.

    That every grant on the owner has ended is not enough: an earlier holder may have
    moved the slice to a target that this holder has not fenced.
    """
    if not own_ended(holder, holder.limit, weakness):
        return False
    if holder.fenced[holder.owner]:
        return serve(holder, weakness)
    return predecessors_lapsed(holder, weakness)


def serve(holder: Holder, weakness: Weakness) -> bool:
    """Return whether the slice may be granted to its owner anew."""
    if holder.served or weakness.serve_at_once:
        return True
    if _nobody_reports(holder, weakness):
        return True
    return predecessors_lapsed(holder, weakness)


def stray(holder: Holder) -> bool:
    """Return whether another target than the owner reported the slice."""
    return not holder.served and holder.reports[1 - holder.owner] == 1


def _nobody_reports(holder: Holder, weakness: Weakness) -> bool:
    """Return whether every target was asked and none holds the slice.

    The earlier start of a target that was named anew cannot be asked.
    """
    if holder.starts_changed and not weakness.changed_starts_asked:
        return False
    return holder.fenced == EVERYBODY and holder.reports == NO_REPORTS


def slice_terms_grow(slice_term: int, lease: int) -> int:
    """Return the slice's term after a move under the lease."""
    return max(slice_term + 1, lease * SLICE_TERMS_PER_LEASE)


def slice_term_unreported(holder: Holder, lease: int, weakness: Weakness) -> int:
    """Return the slice term for a grant of a slice that nobody reported.

    An earlier holder may have moved it away without the store, and its grant has
    ended since; the new grant must still be above that one.
    """
    if holder.served or weakness.unreported_keeps_term:
        return holder.slice_term
    return max(holder.slice_term, lease * SLICE_TERMS_PER_LEASE)
