"""Revisions of the store, ordered across restores from backups.

A restore resets the store to an older revision, and the store then assigns the later
numbers again. Each restore increments the era. A revision combines both in one integer
that sorts by era first; its last twelve decimal digits are the store's own number.
"""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

REVISIONS_PER_ERA: Final = 10**12
"""Size of an era's number range, more than any store uses between two restores."""

MAX_ERA: Final = 10**6


@callback
def make_revision(era: int, number: int) -> int:
    """Return the revision for the store's `number` in an era."""
    if not 0 <= era <= MAX_ERA or not 0 <= number < REVISIONS_PER_ERA:
        raise ValueError(f"revision {number} of era {era} is out of range")
    return era * REVISIONS_PER_ERA + number


@callback
def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // REVISIONS_PER_ERA


@callback
def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision % REVISIONS_PER_ERA
