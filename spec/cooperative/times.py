"""Lengths of time in the model of cooperative groups, in ticks."""

from __future__ import annotations

from typing import Final

HOLDER_LIMIT: Final = 2
OUTAGE_LIMIT: Final = 5
