"""Checks of a model with minicheck."""

from __future__ import annotations

from dataclasses import replace
import time
from typing import Any, Final

from minicheck import Protocol, check_safety

from spec.model_case import ModelCase
from spec.model_result import ModelResult

MAX_STATES: Final = 1_000_000
"""Maximum number of states to visit; a larger check is reported as partial."""


def check(case: ModelCase, max_states: int = MAX_STATES) -> ModelResult:
    """Check all invariants in every reachable state of a model."""
    started = time.process_time()
    protocol: Protocol = case.protocol
    report = check_safety(protocol, max_states=max_states)
    return ModelResult(
        name=protocol.name,
        covers=case.covers,
        states=report["reachable_states"],
        seconds=time.process_time() - started,
        is_exhaustive=report["exhaustive"],
        invariants=tuple(report["properties"]),
        traces_by_invariant={
            name: [step["label"] for step in verdict["counterexample"][1:]]
            for name, verdict in report["properties"].items()
            if verdict["counterexample"] is not None
        },
    )


def refute(case: ModelCase, invariant: str) -> ModelResult:
    """Search for the shortest trace to a violation of one invariant."""
    protocol: Protocol = case.protocol
    violations: list[bool] = []

    def steps(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return the steps from a state, none after a violation was reached."""
        if violations or not protocol.invariants[invariant](protocol.d(state)):
            violations.append(True)
            return []
        return list(protocol.transitions(state))

    return check(replace(case, protocol=replace(protocol, transitions=steps)))
