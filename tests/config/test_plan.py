"""Tests of the planning of changes."""

from __future__ import annotations

from typing import Any

import pytest
import yaml

from swiftpin.config.change_kind import ChangeKind
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.declarations_error import DeclarationsError
from swiftpin.config.declared import Declared
from swiftpin.config.diff import diff_text
from swiftpin.config.document import document_of
from swiftpin.config.inventory import Inventory
from swiftpin.config.parse import parse_document
from swiftpin.config.plan import plan_apply
from swiftpin.config.planned_change import PlannedChange
from swiftpin.config.stored_config import StoredConfig
from swiftpin.config.yaml_document import YamlDocument
from tests.config.conftest import MakeChange

SERVICE = ConfigKind.SERVICE
PROFILE = ConfigKind.PROFILE


def declared_from(change: ConfigObject) -> Declared:
    """Return the change's document as if it came from a file."""
    model = parse_document(change.id, change.document)
    node = yaml.compose(yaml.safe_dump(change.document))
    assert node is not None
    source = YamlDocument(file="a.yaml", node=node, data=change.document)
    return Declared(id=change.id, model=model, source=source)


def inventory_of(*changes: ConfigObject) -> Inventory:
    """Return an inventory with the changes, in full as the store keeps them."""
    inventory = Inventory()
    for version, change in enumerate(changes, start=1):
        model = parse_document(change.id, change.document)
        full: dict[str, Any] = {
            "id": change.id,
            "generation": change.generation,
            "writer": change.writer,
            "author": change.author,
            "written_at": change.written_at,
            "retired": change.retired,
            "document": document_of(model),
        }
        stored = StoredConfig(change=ConfigObject(**full), version=version)
        inventory.stored_by_id[change.id] = stored
    return inventory


def summary(changes: list[PlannedChange]) -> list[tuple[str, ChangeKind, int]]:
    """Return name, effect and generation of each change."""
    return [(item.id.label, item.kind, item.generation) for item in changes]


def test_profiles_come_before_services(make_change: MakeChange) -> None:
    """A service never names a profile that is not in force yet."""
    service = make_change(SERVICE, "desk", 1)
    profile = make_change(PROFILE, "bookings", 1)
    changes = plan_apply([declared_from(service), declared_from(profile)], Inventory())
    assert summary(changes) == [
        ("profile/bookings", ChangeKind.CREATE, 1),
        ("service/desk", ChangeKind.CREATE, 1),
    ]


def test_same_contents_change_nothing(make_change: MakeChange) -> None:
    """Defaults that are written out make no difference."""
    profile = make_change(PROFILE, "bookings", 4)
    changes = plan_apply([declared_from(profile)], inventory_of(profile))
    assert summary(changes) == [("profile/bookings", ChangeKind.UNCHANGED, 4)]
    assert diff_text(changes[0]) == ""


def test_diff_shows_the_lines_that_change(make_change: MakeChange) -> None:
    """The diff names both generations and who wrote the present one."""
    before = make_change(PROFILE, "bookings", 4, queue_length=5)
    after = make_change(PROFILE, "bookings", 1, queue_length=6)
    (change,) = plan_apply([declared_from(after)], inventory_of(before))
    text = diff_text(change)
    assert "--- profile/bookings generation 4 by jana@ops\n" in text
    assert "+++ profile/bookings generation 5 (update)\n" in text
    assert "-  queue_length: 5\n+  queue_length: 6\n" in text


def test_retired_declaration_comes_back_with_a_new_generation(
    make_change: MakeChange,
) -> None:
    """A generation is never used twice."""
    before = make_change(PROFILE, "bookings", 4, retired=True)
    (change,) = plan_apply([declared_from(before)], inventory_of(before))
    assert summary([change]) == [("profile/bookings", ChangeKind.CREATE, 5)]


def test_prune_retires_services_before_profiles(make_change: MakeChange) -> None:
    """What no file declares goes, planned stops stay."""
    stored = inventory_of(
        make_change(PROFILE, "bookings", 1),
        make_change(SERVICE, "desk", 2),
        make_change(ConfigKind.PLANNED_STOP, "monday", 1),
    )
    kept = declared_from(make_change(PROFILE, "other", 1))
    assert summary(plan_apply([kept], stored, prune=True)) == [
        ("profile/other", ChangeKind.CREATE, 1),
        ("service/desk", ChangeKind.RETIRE, 3),
        ("profile/bookings", ChangeKind.RETIRE, 2),
    ]


@pytest.mark.parametrize("prune", [False, True])
def test_service_needs_a_profile(make_change: MakeChange, *, prune: bool) -> None:
    """A profile of the store counts only if it is not about to go."""
    service = declared_from(make_change(SERVICE, "desk", 1))
    stored = make_change(PROFILE, "bookings" if prune else "booking", 1)
    with pytest.raises(DeclarationsError) as caught:
        plan_apply([service], inventory_of(stored), prune=prune)
    hint = "" if prune else "; did you mean booking?"
    message = f"spec.profile: no profile bookings would be in force{hint}"
    assert str(caught.value).endswith(message)


@pytest.mark.parametrize(
    ("field", "value", "retired", "allowed"),
    [
        ("slices", 512, False, False),
        ("slices", 512, True, False),
        ("keyed", False, True, False),
        ("checks_grants", False, False, False),
        ("checks_grants", False, True, True),
    ],
)
def test_fields_that_number_the_records_stay(
    make_change: MakeChange, field: str, value: object, *, retired: bool, allowed: bool
) -> None:
    """Symptom: two targets own one key for some seconds.

    Sequence: an operator changes the number of slices; instances adopt the change at
    different moments and look for a key in different slices.
    Cause: a change of what the records are numbered by.
    """
    profile = make_change(PROFILE, "bookings", 1)
    before = make_change(SERVICE, "desk", 3, retired=retired)
    after = declared_from(make_change(SERVICE, "desk", 1, **{field: value}))
    stored = inventory_of(profile, before)
    if allowed:
        assert plan_apply([after], stored)[0].kind is ChangeKind.CREATE
        return
    with pytest.raises(DeclarationsError, match=f"spec.{field}: cannot change from"):
        plan_apply([after], stored)


def test_unreadable_object_is_not_overwritten(make_change: MakeChange) -> None:
    """A generation that cannot be read cannot be counted on from."""
    profile = declared_from(make_change(PROFILE, "bookings", 1))
    inventory = Inventory()
    name = ConfigName(kind=PROFILE, name="bookings")
    inventory.faults_by_id[name] = "no JSON"
    with pytest.raises(DeclarationsError, match=r"metadata\.name: no JSON"):
        plan_apply([profile], inventory)
