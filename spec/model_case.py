"""A model to check, with what it covers."""

from __future__ import annotations

from dataclasses import dataclass

from minicheck import Protocol


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelCase:
    """`covers` says in a few words what the model lets happen."""

    protocol: Protocol
    covers: str
