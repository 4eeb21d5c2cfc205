"""Operators who change the same profiles at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.bench.experiments.config_operator import ConfigOperator
from swiftpin.config.change_unsettled_error import ChangeUnsettledError
from swiftpin.config.config_name import ConfigName
from swiftpin.config.lost_race_error import LostRaceError
from swiftpin.config.models.profile_spec_model import ProfileSpecModel


@dataclass(kw_only=True, slots=True)
class RaceRecord:
    """What the operators were told."""

    accepted: list[AcceptedChange] = field(default_factory=list)
    races_lost: int = 0
    unsettled: int = 0


class ConfigRace:
    """Runs the operators until `goal` changes were accepted in all.

    Like the operators' command told of a lost race, each reads again and goes on.
    """

    def __init__(
        self,
        operators: Sequence[ConfigOperator],
        profiles: Sequence[ConfigName],
        spec: ProfileSpecModel,
        goal: int,
        random: Random,
    ) -> None:
        self._operators = operators
        self._profiles = profiles
        self._spec = spec
        self._goal = goal
        self._random = random
        self._record = RaceRecord()

    async def async_run(self) -> RaceRecord:
        """Return what the operators were told."""
        async with asyncio.TaskGroup() as group:
            for operator in self._operators:
                group.create_task(self._async_operate(operator))
        return self._record

    async def _async_operate(self, operator: ConfigOperator) -> None:
        """Let one operator make changes until there are enough."""
        record = self._record
        while len(record.accepted) < self._goal:
            profile = self._random.choice(self._profiles)
            try:
                change = await operator.async_change(profile, self._spec)
            except LostRaceError:
                record.races_lost += 1
            except ChangeUnsettledError:
                record.unsettled += 1
            else:
                record.accepted.append(change)
