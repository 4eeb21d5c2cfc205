"""Rules of the protocol that the model can omit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class IssuerWeakness:
    """Each flag omits one rule, and the checker must then find a violation."""

    starts_at_once: bool = False
    """An issuer is authorized as soon as its list is confirmed."""

    starts_too_soon: bool = False
    """An issuer does not wait longer than a confirmation lasts."""

    needs_no_confirmation: bool = False
    """A confirmation never expires."""

    takes_any_confirmation: bool = False
    """A confirmation of the newest list counts for an older one."""

    ignores_missed_lists: bool = False
    """An issuer does not start its wait again after it has missed a list."""

    ignores_new_terms: bool = False
    """An issuer does not start its wait again for a list of another lease holder."""
