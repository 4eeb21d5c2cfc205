"""An episode with its time."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.experiments.faults_episode import FaultEpisode


@dataclass(frozen=True, kw_only=True, slots=True)
class ScheduledEpisode:
    """An episode that begins `at` seconds after the start of the load."""

    at: float
    episode: FaultEpisode

    def __str__(self) -> str:
        return f"{self.at:.2f} {self.episode}"
