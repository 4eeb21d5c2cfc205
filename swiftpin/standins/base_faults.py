"""Faults that every stand-in can be given."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from pydantic import ConfigDict


@dataclass(kw_only=True, slots=True)
class BaseFaults:
    """Faults in force; mutable, since counted ones run down.

    `outage` answers 503 to all calls. `hang` keeps calls waiting until it is
    cleared; they are then carried out, also when their caller has left, as after a
    freeze. `latency_ms` delays each call by so many milliseconds.
    """

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    outage: bool = False
    hang: bool = False
    latency_ms: float = 0.0
