"""Name of a target among all services."""

from __future__ import annotations

from typing import NamedTuple


class TargetName(NamedTuple):
    """A target's id within its service."""

    service: str
    target: str
