"""A state of a fenced group with its store and messages."""

from __future__ import annotations

from typing import NamedTuple

from spec.fenced.holder import Holder
from spec.fenced.late_grant import LateGrant
from spec.fenced.pending_write import PendingWrite
from spec.fenced.record import Record
from spec.fenced.target import Target


class World(NamedTuple):
    """`holders` are in the order of their leases' terms.

    `late` has one message for each possible owner. `boot` counts the starts of the one
    target that may restart, `ghost` the ticks left of the grant of its earlier start,
    whose process may still run. `last_owner`, `last_slice_term`, `done` (revision of
    the newest write known as done to its writer) and `faults` only serve the
    invariants.
    """

    targets: tuple[Target, Target, Target]
    holders: tuple[Holder, ...]
    record: Record
    late: tuple[LateGrant | None, LateGrant | None]
    pending: PendingWrite | None
    boot: int
    ghost: int
    last_owner: int
    last_slice_term: int
    done: int
    faults: int
