"""Options of the placement experiment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FULL_SIZES: Final = (25, 250, 2_500, 7_000)
QUICK_SIZES: Final = (25, 250)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementOptions:
    """Sizes and shape of the load.

    `sizes` are numbers of targets. `hot_keys` keys are replaced by others each
    `hot_period` seconds of injected time, `changes` times; in each of these times load
    is measured and placement decided `decisions` times. The hottest key loads
    `top_share` of a mean target. `noise` is the relative error of each slice's
    measured load; results are judged by the true load.
    """

    sizes: tuple[int, ...] = FULL_SIZES
    seed: int = 1
    zones: int = 5
    group_size: int = 5
    slices_per_target: int = 50
    keys_per_target: int = 1_185_714
    hot_keys: int = 230
    hot_period: float = 300.0
    changes: int = 3
    decisions: int = 5
    top_share: float = 0.5
    utilisation: float = 0.5
    slots: int = 2
    noise: float = 0.05
    sweep_targets: int = 2_500
    sweep_group_sizes: tuple[int, ...] = (5, 8, 10, 20, 40, 2_500)
    timing_runs: int = 5

    @property
    def target_load(self) -> float:
        """Return the mean load of a target in slots."""
        return self.utilisation * self.slots
