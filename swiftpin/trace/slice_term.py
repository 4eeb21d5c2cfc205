"""A slice with its term."""

from __future__ import annotations

from typing import NamedTuple


class SliceTerm(NamedTuple):
    """A slice and the term under which it is owned; a pair in JSON."""

    slice_id: int
    term: int
