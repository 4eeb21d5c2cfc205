"""State of the model of issuers."""

from __future__ import annotations

from typing import Final, NamedTuple

INSTANCES: Final = 3
CONFIRMATION_TICKS: Final = 2
"""Ticks for which a list stays confirmed."""

WAIT_TICKS: Final = CONFIRMATION_TICKS + 1
"""Ticks for which an issuer waits after it became one of the highest-ranked."""

MAX_MISSED: Final = 2
"""Number of missed lists from which more make no difference."""


class Issuer(NamedTuple):
    """One instance that may issue permits for the subject."""

    is_in_newest: bool = False
    """Whether the newest list ranks it among the highest."""

    is_ranked: bool = False
    """Whether the list that it knows does."""

    ranked_ticks: int = 0
    """Ticks since it became one of them, as far as it knows."""

    confirmed_ticks: int = 0
    """Ticks for which its list is still confirmed."""

    missed: int = MAX_MISSED
    """Lists published since the one that it knows."""

    is_from_new_term: bool = True
    """Whether another lease holder has published lists since then."""


class IssuerWorld(NamedTuple):
    """All instances, ordered so that worlds that differ only in names are equal."""

    issuers: tuple[Issuer, ...] = (Issuer(),) * INSTANCES
