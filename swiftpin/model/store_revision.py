"""Revisions of the store, ordered across its restores from older copies.

A restored store goes back to an older revision and gives the ones after it out again.
Its era rises by one each time. A revision here is one whole number that orders by the
era first; in logs the last twelve digits are the store's own number.
"""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

REVISIONS_PER_ERA: Final = 10**12
"""Revisions of an era, more than any store makes between two restores."""

MAX_ERA: Final = 10**6


@callback
def make_revision(era: int, number: int) -> int:
    """Return the revision that the store calls `number` in an era."""
    if not 0 <= era <= MAX_ERA or not 0 <= number < REVISIONS_PER_ERA:
        raise ValueError(f"revision {number} of era {era} is out of range")
    return era * REVISIONS_PER_ERA + number


@callback
def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // REVISIONS_PER_ERA


@callback
def number_of(revision: int) -> int:
    """Return what the store calls a revision."""
    return revision % REVISIONS_PER_ERA
