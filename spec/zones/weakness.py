"""Rules that the models may leave out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdWeakness:
    """Each flag drops one rule; the model must then find a violation."""

    does_not_space: bool = False
    """An issuer gives permits as fast as they are asked for."""

    every_issuer_gives: bool = False
    """Issuers beyond the first in rank give permits too."""

    new_issuer_gives_at_once: bool = False
    """An issuer that has just begun does not wait for what an earlier one gave."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationWeakness:
    """Each flag drops one rule; the model must then find a violation."""

    counts_from_hearing: bool = False
    """An evacuation that a neighbour tells counts as new."""

    uses_whole_bound: bool = False
    """Requests are sent until the bound, counted from when it was learnt."""

    restored_store_ends_it: bool = False
    """An evacuation ends when a restored store does not list it."""
