"""Faults of a target."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.standins.base_faults import BaseFaults


@dataclass(kw_only=True, slots=True)
class TargetFaults(BaseFaults):
    """Faults of a target; `outage`, `hang` and `latency_ms` hit control calls too.

    - `drain`: the status says draining; requests are refused as `draining` once
      `drain_grace_ms` milliseconds have passed.
    - `shed`: every request is refused as `shed`.
    - `freeze_ms`: the process blocks once for so many milliseconds.
    - `drop_before_next`: that many requests lose their connection before they run.
    - `drop_answer_next`: that many requests run and lose their connection then.
    - `cut_answer_next`: that many answers break off in the middle of the body.
    - `slow_ms`: added to each execution's work.
    - `health_lies`: the status reports an idle, warm target.
    - `crash_next`: that many executions kill the target.
    """

    drain: bool = False
    drain_grace_ms: float = 0.0
    shed: bool = False
    freeze_ms: float = 0.0
    drop_before_next: int = 0
    drop_answer_next: int = 0
    cut_answer_next: int = 0
    slow_ms: float = 0.0
    health_lies: bool = False
    crash_next: int = 0
