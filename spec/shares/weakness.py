"""Rules that the model may leave out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareWeakness:
    """Each flag drops one rule; the model must then find a violation."""

    spends_at_once: bool = False
    """A process that has just started takes a share as soon as it was told a count."""

    settles_too_soon: bool = False
    """A process does not wait until what others spent has left the window."""

    spends_while_cut_off: bool = False
    """A process that hears no holder keeps its share."""

    believes_newest: bool = False
    """A process goes by the newest count instead of the greatest."""

    leaves_out_lost: bool = False
    """The holder does not count whoever is cut off but may still spend."""
