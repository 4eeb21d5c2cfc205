"""Figures of one way at one rate."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CostPoint:
    """What recording cost; `rate` in bookings a second of one group.

    `begin` is the time until a request may be sent, `added` that time and the one
    until its answer may be given, both in milliseconds. `cpu_us` is the processor
    time of this process for each booking, the client of the store included.
    """

    way: str
    rate: float
    bookings: int
    refused: int
    begin_p50_ms: float
    begin_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    writes_per_second: float
    kilobytes_per_second: float
    cpu_us: float
