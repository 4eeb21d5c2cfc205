"""Answer to pushed news."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PushReply:
    """Names that were new to the receiver and names whose bodies it asks for."""

    adopted: frozenset[str]
    wanted: frozenset[str]
