"""Options that every experiment takes."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, kw_only=True, slots=True)
class ExperimentOptions:
    """`quick` shortens a run to about a minute; its figures are only indicative.

    `directory` takes the processes' logs and traces. `repeats` is None for the
    experiment's own default. `only` limits an experiment that has named parts to
    those whose name contains it.
    """

    seed: int
    repeats: int | None
    quick: bool
    directory: Path
    only: str = ""
