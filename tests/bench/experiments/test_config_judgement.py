"""Tests of the judgement of racing operators."""

from __future__ import annotations

from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.bench.experiments.config_adoption import Adoption
from swiftpin.bench.experiments.config_judgement import judge_race

LABEL = "profile/desk"


def accepted(generation: int, writer: str) -> AcceptedChange:
    """Return a change that an operator was told of as accepted."""
    return AcceptedChange(
        label=LABEL,
        generation=generation,
        writer=writer,
        began_at=0.0,
        accepted_at=0.0,
        read_back=False,
    )


def adopted(*generations: int) -> list[Adoption]:
    """Return adoptions in this order."""
    return [Adoption(label=LABEL, generation=item, at=0.0) for item in generations]


def test_sound_race_has_nothing_wrong() -> None:
    """Generations that the history no longer reaches back to are not missed."""
    changes = [accepted(1, "a"), accepted(2, "b"), accepted(3, "c")]
    judgement = judge_race(
        changes, {LABEL: {2: "b", 3: "c"}}, {"gw-1": adopted(1, 3), "gw-2": adopted(3)}
    )
    assert judgement.accepted_lost == 0
    assert judgement.older_after_newer == 0
    assert judgement.not_newest == 0


def test_overwritten_change_is_lost() -> None:
    """Symptom: an operator's accepted change is nowhere.

    Sequence: a and b both write generation 2, both are told of success, and b's is
    stored. Cause: a write without its condition.
    """
    judgement = judge_race(
        [accepted(2, "a"), accepted(2, "b")], {LABEL: {1: "x", 2: "b"}}, {}
    )
    assert judgement.accepted_lost == 1


def test_shared_generation_is_lost_beyond_the_history() -> None:
    """Two accepted changes of one generation cannot both have taken effect."""
    judgement = judge_race(
        [accepted(1, "a"), accepted(1, "b")], {LABEL: {2: "c", 3: "d"}}, {}
    )
    assert judgement.accepted_lost == 1


def test_change_newer_than_the_store_is_lost() -> None:
    """A generation that was accepted is stored or was replaced by a later one."""
    judgement = judge_race([accepted(3, "a")], {LABEL: {1: "x", 2: "y"}}, {})
    assert judgement.accepted_lost == 1


def test_older_adoption_after_newer_is_counted() -> None:
    """Symptom: an instance goes back to an older generation.

    Sequence: it adopts 2, then 1, then 3. Cause: late news adopted unseen.
    """
    judgement = judge_race([], {LABEL: {3: "c"}}, {"gw-1": adopted(2, 1, 3)})
    assert judgement.older_after_newer == 1
    assert judgement.not_newest == 0


def test_instance_that_stays_behind_is_counted() -> None:
    """An instance whose last generation is not the stored one stays behind."""
    judgement = judge_race([], {LABEL: {3: "c"}}, {"gw-1": adopted(1, 2)})
    assert judgement.not_newest == 1
