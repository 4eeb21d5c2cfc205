"""Figures of one measurement of the hop."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryFigures:
    """What the entry's process measured; times in milliseconds.

    `entry_cpu_ms` is its processor time a request, the making of the load included.
    """

    sent: int
    failed: int
    p50_ms: float
    p99_ms: float
    entry_cpu_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HopPoint:
    """Figures of both ends; `holder_cpu_ms` is the processor time a request there."""

    way: str
    case: str
    repeat: int
    rate: float
    sent: int
    failed: int
    p50_ms: float
    p99_ms: float
    entry_cpu_ms: float
    holder_cpu_ms: float
