"""Parts of the rules left out, to show that the model of a wide group notices."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class WideWeakness:
    """Each flag takes one part of a rule away; all off is the protocol."""

    unserved_lapses: bool = False
    """`lapsed`: the slices of a lost target move without a wait once it was fenced in
    this term, although it was never shown to own them (third version)."""

    no_wait: bool = False
    """`lapsed`, `serve`: earlier holders' grants are not waited for."""
