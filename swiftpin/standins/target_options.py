"""Settings of a stand-in target."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetOptions:
    """What a target is like; times are in seconds.

    `slots` requests run at once; with those waiting for a slot there are at most
    `connections`. `work` is how long an execution takes unless the request says. For
    `cold` after its start the target is cold and works more slowly. Load in the
    status is `load_lag` old. An `unchecked` target ignores grants and terms.
    Events go to the file `trace`.
    """

    name: str
    zone: str = "zone-1"
    slots: int = 2
    connections: int = 100
    work: float = 0.002
    cold: float = 0.0
    load_lag: float = 0.0
    unchecked: bool = False
    trace: Path | None = None
