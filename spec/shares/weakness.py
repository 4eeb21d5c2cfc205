"""Rules of the protocol that the model can omit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareWeakness:
    """Each flag omits one rule, and the checker must then find a violation."""

    spends_immediately: bool = False
    """A process spends as soon as it has received a count after its start."""

    settles_too_soon: bool = False
    """A process does not wait until the others' spending has left the window."""

    spends_while_cut_off: bool = False
    """A process without contact to a holder keeps its share."""

    uses_newest_count: bool = False
    """A process uses the newest count instead of the largest one."""

    ignores_cut_off: bool = False
    """The holder does not count processes that are cut off but may still spend."""
