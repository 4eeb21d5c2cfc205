"""Execution of long computations in time slices, to keep the event loop responsive."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from swiftpin.core import callback, monotonic_now

TIME_SLICE_SECONDS: Final = 0.002
"""Seconds for which a computation may run before it yields to the event loop."""

_Result = TypeVar("_Result")


@dataclass(frozen=True, slots=True)
class Completed(Generic[_Result]):
    """Result of a completed computation."""

    result: _Result


@callback
def run_time_slice(
    steps: Generator[None, None, _Result], seconds: float = TIME_SLICE_SECONDS
) -> Completed[_Result] | None:
    """Resume a computation for some time; return None if it is not completed."""
    ends_at = monotonic_now() + seconds
    try:
        while monotonic_now() < ends_at:
            next(steps)
    except StopIteration as end:
        return Completed(end.value)
    return None


@callback
def run_to_completion(steps: Generator[None, None, _Result]) -> _Result:
    """Run a computation without interruption and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: _Result = end.value
            return result
