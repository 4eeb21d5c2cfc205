"""Faults of the instance list."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.standins.base_faults import BaseFaults


@dataclass(kw_only=True, slots=True)
class InstancesFaults(BaseFaults):
    """Faults of the list; `lag_ms` replaces the lag given at the start, if set."""

    lag_ms: float | None = None
