"""A generation that an instance put in force."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Adoption:
    """One line `config_adopted` of an instance's log; `at` is Unix seconds."""

    label: str
    generation: int
    at: float
