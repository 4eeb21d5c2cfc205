"""A model to check and a description of what it covers."""

from __future__ import annotations

from dataclasses import dataclass

from minicheck import Protocol


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelCase:
    """A model; `covers` briefly describes the events that it includes."""

    protocol: Protocol
    covers: str
