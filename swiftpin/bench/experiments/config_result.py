"""Result of the configuration experiment."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.experiments.config_judgement import RaceJudgement
from swiftpin.bench.experiments.config_rest import RestCost
from swiftpin.bench.experiments.config_times import InForceTimes


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultyResult:
    """Changes while news is lost and an instance that watches the store is paused.

    `others` are the times at the instances that ran on. `paused_for` is how long the
    paused one stood, `caught_up_after` how long after going on it had the newest
    generation in force, None if it never had. `loss_only` are the times at
    all instances before the pause.
    """

    news_loss: float
    loss_only: InForceTimes
    others: InForceTimes
    paused: str
    paused_for: float
    caught_up_after: float | None
    older_after_newer: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RaceResult:
    """Racing operators; `lost_answers` is the share of the store's lost answers.

    `seconds` is how long the race took, `shown_older_after_newer` counts statuses of
    instances among `statuses` that showed an older generation than before.
    """

    operators: int
    accepted: int
    read_back: int
    races_lost: int
    unsettled: int
    seconds: float
    lost_answers: float
    times: InForceTimes
    judgement: RaceJudgement
    statuses: int
    shown_older_after_newer: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigSizeResult:
    """Everything measured with one number of instances."""

    instances: int
    rest: RestCost
    calm: InForceTimes
    race: RaceResult
    faulty: FaultyResult


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigResult:
    """All sizes, each with the same targets, groups and availability zones."""

    targets: int
    groups: int
    zones: int
    sizes: list[ConfigSizeResult]
