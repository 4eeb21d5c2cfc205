"""An instance under one lease."""

from __future__ import annotations

from typing import Final, NamedTuple

from spec.times import LONG_ENDED, NOT_BEGUN

NOT_STARTED: Final = 0
ACTIVE: Final = 1
ENDED: Final = 2

NOBODY: Final = (0, 0, 0)
EVERYBODY: Final = (1, 1, 1)
NO_REPORTS: Final = (0, 0)


class Holder(NamedTuple):
    """What an instance knows under one lease; times are ticks left.

    `acks` holds for each target how long its last acknowledgement still confirms the
    holder, counted from its send; `limit` how long grants it sent to the owner may
    last, `stray_limit` the same for the other, which reported it; `wait` how long
    earlier holders' grants may last. `fenced` and `reports` tell which targets it
    fenced and which reported the slice. `served` is 1 once it knows that nobody but its
    owner can hold the slice, `revoked` while a planned move waits for its write.
    `starts_changed` is 1 while the earlier start of a target may hold the slice. `base`
    is the revision of the record it took over from.
    """

    phase: int
    acks: tuple[int, int, int]
    limit: int
    stray_limit: int
    wait: int
    fenced: tuple[int, int, int]
    reports: tuple[int, int]
    owner: int
    slice_term: int
    served: int
    moves_left: int
    boot: int
    starts_changed: int
    revoked: int
    base: int


IDLE: Final = Holder(
    phase=NOT_STARTED,
    acks=NOBODY,
    limit=0,
    stray_limit=LONG_ENDED,
    wait=NOT_BEGUN,
    fenced=NOBODY,
    reports=NO_REPORTS,
    owner=0,
    slice_term=0,
    served=0,
    moves_left=0,
    boot=0,
    starts_changed=0,
    revoked=0,
    base=0,
)
GONE: Final = IDLE._replace(phase=ENDED)
