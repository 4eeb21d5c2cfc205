"""Tests of evacuated zones."""

from __future__ import annotations

import pytest

from swiftpin.discovery.const import GOSSIP_LAG, REREGISTRATION_TIME
from swiftpin.discovery.evacuations import EVACUATION_LAG, Evacuations
from swiftpin.model.store_revision import REVISIONS_PER_ERA
from swiftpin.platform.platform_object import PlatformObject

LIMIT = 5.0


@pytest.fixture(name="evacuations")
def evacuations_fixture() -> Evacuations:
    """Return an empty list of evacuations, known at revision 10."""
    evacuations = Evacuations(LIMIT)
    evacuations.adopt_list((), 10, 0.0)
    return evacuations


def entry(zone: str, revision: int, *, is_deleted: bool = False) -> PlatformObject:
    """Return the store object that evacuates a zone."""
    return PlatformObject(
        name=zone, revision=revision, is_deleted=is_deleted, document={}
    )


def test_keys_of_an_evacuated_zone_are_served_until_shortly_before_the_limit(
    evacuations: Evacuations,
) -> None:
    """Guards against requests to an evacuated zone after the evacuation limit."""
    evacuations.adopt_changes((entry("a", 11),), 11, 1.0)
    assert evacuations.is_evacuated("a")
    assert evacuations.may_send("a", 1.0 + LIMIT - EVACUATION_LAG - 0.1)
    assert not evacuations.may_send("a", 1.0 + LIMIT - EVACUATION_LAG)
    assert evacuations.may_send("b", 100.0)


def test_zone_gets_requests_after_its_evacuation(evacuations: Evacuations) -> None:
    """The end of the evacuation is recorded, as targets may be cold from then on."""
    evacuations.adopt_changes((entry("a", 11), entry("b", 12)), 12, 1.0)
    evacuations.adopt_changes((entry("a", 13, is_deleted=True),), 13, 8.0)
    assert evacuations.may_send("a", 8.0)
    assert evacuations.is_evacuated("b")
    assert evacuations.ended_at("a") == 8.0


def test_new_list_starts_and_ends_evacuations(evacuations: Evacuations) -> None:
    """The history between two lists is not available."""
    evacuations.adopt_list((entry("a", 11),), 15, 1.0)
    evacuations.adopt_list((entry("b", 18),), 20, 2.0)
    assert evacuations.since_by_zone == {"b": 2.0}


def test_older_updates_are_ignored(evacuations: Evacuations) -> None:
    """Guards against reusing an evacuated zone because of an outdated answer."""
    evacuations.adopt_changes((entry("a", 11),), 11, 1.0)
    evacuations.adopt_list((), 10, 2.0)
    evacuations.adopt_changes((), 10, 2.0)
    evacuations.adopt_update({}, 11, 2.0)
    assert evacuations.is_evacuated("a")


def test_neighbour_reports_the_age_of_an_evacuation(
    evacuations: Evacuations,
) -> None:
    """Guards against a limit that counts from the report of the neighbour."""
    evacuations.adopt_update({"a": 2.0}, 12, 10.0)
    assert evacuations.since_by_zone == {"a": 8.0 - GOSSIP_LAG}
    assert evacuations.resume_revision(10) == 12
    evacuations.adopt_update({}, 13, 11.0)
    assert not evacuations.is_evacuated("a")


def test_restored_store_does_not_end_an_evacuation_immediately(
    evacuations: Evacuations,
) -> None:
    """Guards against using a zone whose evacuation is about to be written again."""
    evacuations.adopt_changes((entry("a", 11), entry("b", 12)), 12, 1.0)
    evacuations.adopt_list((), REVISIONS_PER_ERA + 9, 2.0)
    assert evacuations.is_evacuated("a")
    evacuations.adopt_changes(
        (entry("a", REVISIONS_PER_ERA + 10),), REVISIONS_PER_ERA + 10, 3.0
    )
    evacuations.end_unconfirmed(2.0 + REREGISTRATION_TIME)
    assert evacuations.is_evacuated("a")
    assert not evacuations.is_evacuated("b")


def test_evacuations_are_unknown_until_the_first_update() -> None:
    """Guards against an assigner that assigns keys to a zone evacuated unnoticed."""
    unknown = Evacuations(LIMIT)
    assert not unknown.is_known
    unknown.adopt_update({}, 3, 0.0)
    assert unknown.is_known
    assert Evacuations(None).is_known


def test_neighbour_update_after_a_restore_does_not_end_an_evacuation_immediately(
    evacuations: Evacuations,
) -> None:
    """Guards against ending an evacuation unknown to a newly started neighbour."""
    evacuations.adopt_changes((entry("a", 11),), 11, 1.0)
    evacuations.adopt_update({}, REVISIONS_PER_ERA + 9, 2.0)
    assert evacuations.is_evacuated("a")
    evacuations.end_unconfirmed(2.0 + REREGISTRATION_TIME)
    assert not evacuations.is_evacuated("a")
