"""A named experiment."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.progress import Progress


@dataclass(frozen=True, kw_only=True, slots=True)
class Experiment:
    """Name, one line of help, and the coroutine that returns the result.

    The result is a data class that can be written as JSON.
    """

    name: str
    summary: str
    async_run: Callable[[ExperimentOptions, Progress], Awaitable[Any]]
