"""Check every model; the exit code is 1 if one is violated or not checked fully."""

from __future__ import annotations

import sys

from spec.cases import all_cases
from spec.check import check
from spec.model_result import ModelResult


def main() -> int:
    """Check and print every model; return the exit code."""
    results = []
    for case in all_cases():
        result = check(case)
        _print(result)
        results.append(result)
    total = sum(result.seconds for result in results)
    states = sum(result.states for result in results)
    print(f"total: {states} states, {total:.1f} s of CPU time")
    return 0 if all(result.holds for result in results) else 1


def _print(result: ModelResult) -> None:
    """Print one model's result, with a trace to each violated invariant."""
    print(
        f"{result.name}: {result.states} states, {result.seconds:.1f} s, "
        f"{', '.join(result.invariants)}: {result.verdict} ({result.covers})",
        flush=True,
    )
    for invariant, trace in result.traces_by_invariant.items():
        print(f"  {invariant} is violated after:")
        for label in trace:
            print(f"    {label}")


if __name__ == "__main__":
    sys.exit(main())
