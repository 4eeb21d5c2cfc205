"""The experiments by name."""

from __future__ import annotations

from typing import Final

from swiftpin.bench.experiment import Experiment
from swiftpin.bench.experiments.config import CONFIG
from swiftpin.bench.experiments.failover import FAILOVER
from swiftpin.bench.experiments.faults import FAULTS_EXPERIMENT
from swiftpin.bench.experiments.overload import OVERLOAD
from swiftpin.bench.experiments.passthrough import PASSTHROUGH
from swiftpin.bench.experiments.slopes import SLOPES
from swiftpin.bench.experiments.stops import STOPS

EXPERIMENTS_BY_NAME: Final[dict[str, Experiment]] = {
    item.name: item
    for item in (
        PASSTHROUGH,
        FAILOVER,
        SLOPES,
        CONFIG,
        STOPS,
        FAULTS_EXPERIMENT,
        OVERLOAD,
    )
}
