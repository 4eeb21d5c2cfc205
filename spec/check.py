"""Checking one model with minicheck."""

from __future__ import annotations

from dataclasses import replace
import time
from typing import Any, Final

from minicheck import Protocol, check_safety

from spec.model_case import ModelCase
from spec.model_result import ModelResult

MAX_STATES: Final = 1_000_000
"""States after which a sweep is given up, and reported as partial."""


def check(case: ModelCase, max_states: int = MAX_STATES) -> ModelResult:
    """Visit every state of a model."""
    started = time.process_time()
    protocol: Protocol = case.protocol
    found = check_safety(protocol, max_states=max_states)
    return ModelResult(
        name=protocol.name,
        covers=case.covers,
        states=found["reachable_states"],
        seconds=time.process_time() - started,
        whole=found["exhaustive"],
        invariants=tuple(found["properties"]),
        traces_by_invariant={
            name: [step["label"] for step in verdict["counterexample"][1:]]
            for name, verdict in found["properties"].items()
            if verdict["counterexample"] is not None
        },
    )


def refute(case: ModelCase, invariant: str) -> ModelResult:
    """Look for the shortest trace to a violation of one invariant, then stop."""
    protocol: Protocol = case.protocol
    broken: list[bool] = []

    def steps(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return the steps of a state, none once a violation was reached."""
        if broken or not protocol.invariants[invariant](protocol.d(state)):
            broken.append(True)
            return []
        return list(protocol.transitions(state))

    return check(replace(case, protocol=replace(protocol, transitions=steps)))
