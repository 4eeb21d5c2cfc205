"""An instance of a cooperative group's model."""

from __future__ import annotations

from typing import Final, NamedTuple

NO_LEASE: Final = -1


class Instance(NamedTuple):
    """What an instance knows; times are ticks left.

    `lease` is the lease it holds, `by_successor` and `by_store` how long either
    confirms it, `outage` how long it may go on without the store, `wait` how long it
    must not send yet, `patience` how long it must not take over as successor,
    `known` the newest lease it heard of, `unsettled` whether the answer to a takeover
    is open.
    """

    lease: int
    by_successor: int
    by_store: int
    outage: int
    wait: int
    patience: int
    known: int
    unsettled: bool


BYSTANDER: Final = Instance(NO_LEASE, 0, 0, 0, 0, 0, 0, False)
