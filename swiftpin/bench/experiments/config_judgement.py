"""Judgement of a race of operators."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.bench.experiments.config_adoption import Adoption


@dataclass(frozen=True, kw_only=True, slots=True)
class RaceJudgement:
    """What must be 0 after a race.

    `accepted_lost` are changes that an operator was told of as accepted and that are
    not in the history under their writer, while it reaches back to them, or share
    their generation with another accepted change, or are newer than what is stored.
    `older_after_newer` counts adoptions of an instance out of order, `not_newest`
    instances whose last generation is not the stored one.
    """

    accepted_lost: int
    older_after_newer: int
    not_newest: int


def judge_race(
    accepted: Sequence[AcceptedChange],
    writers_by_generation_by_label: Mapping[str, Mapping[int, str]],
    adoptions_by_instance: Mapping[str, Sequence[Adoption]],
) -> RaceJudgement:
    """Return the judgement.

    `writers_by_generation_by_label` is the history as stored at the end, the
    present generation included.
    """
    return RaceJudgement(
        accepted_lost=_accepted_lost(accepted, writers_by_generation_by_label),
        older_after_newer=sum(
            count_older(items) for items in adoptions_by_instance.values()
        ),
        not_newest=sum(
            newest_by_label(items).get(label, 0) != max(writers)
            for items in adoptions_by_instance.values()
            for label, writers in writers_by_generation_by_label.items()
        ),
    )


def count_older(adoptions: Iterable[Adoption]) -> int:
    """Return how many adoptions came after one of the same or a newer generation."""
    newest: dict[str, int] = {}
    count = 0
    for item in adoptions:
        count += item.generation <= newest.get(item.label, 0)
        newest[item.label] = max(newest.get(item.label, 0), item.generation)
    return count


def newest_by_label(adoptions: Iterable[Adoption]) -> dict[str, int]:
    """Return the last generation of each declaration that was put in force."""
    return {item.label: item.generation for item in adoptions}


def _accepted_lost(
    accepted: Sequence[AcceptedChange],
    writers_by_generation_by_label: Mapping[str, Mapping[int, str]],
) -> int:
    """Return how many accepted changes left no trace or shared their generation."""
    writers_by_place: dict[tuple[str, int], set[str]] = {}
    for change in accepted:
        place = (change.label, change.generation)
        writers_by_place.setdefault(place, set()).add(change.writer)
    lost = 0
    for (label, generation), writers in writers_by_place.items():
        stored = writers_by_generation_by_label.get(label, {})
        if generation < min(stored, default=0):
            lost += len(writers) - 1
        else:
            lost += len(writers - {stored.get(generation, "")})
    return lost
