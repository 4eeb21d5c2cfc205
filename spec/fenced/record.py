"""The group's record in the store."""

from __future__ import annotations

from typing import NamedTuple


class Record(NamedTuple):
    """`lease` is the index of the lease that wrote it, `boot` the start it names.

    `starts_changed` is 1 until a holder wrote that all grants from before a change of
    the named start have ended. Leases are numbered in the order of their terms, so an
    index stands for the term.
    """

    lease: int
    revision: int
    owner: int
    slice_term: int
    boot: int
    starts_changed: int
