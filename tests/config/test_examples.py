"""Tests that the examples are sound and have the sizes they stand for."""

from __future__ import annotations

from pathlib import Path

import pytest

from swiftpin.config.catalog import Catalog
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.inventory import Inventory
from swiftpin.config.load import load_declarations
from swiftpin.config.plan import plan_apply
from swiftpin.ownership.rules import is_fenced_group

EXAMPLES = Path(__file__).parents[2] / "examples"


def catalog_of(directory: str) -> Catalog:
    """Return the view after applying an example."""
    catalog = Catalog()
    declared = load_declarations([EXAMPLES / directory])
    for change in plan_apply(declared, Inventory()):
        signed: ConfigObject = change.signed(author="a", writer="w", written_at=0.0)
        assert catalog.adopt(signed)
    return catalog


@pytest.mark.parametrize(
    ("directory", "name", "keyed", "targets", "zones", "groups"),
    [
        ("brno", "desk", True, 20, 4, 5),
        ("brno", "vault", False, 10, 4, None),
        ("west-coast", "nominations", True, 25, 3, 5),
        ("west-coast", "vault", False, 5, 3, None),
        ("demo", "desk", True, 6, 3, 2),
        ("demo", "vault", False, 3, 3, None),
    ],
)
def test_sizes(
    directory: str, name: str, targets: int, zones: int, groups: int, *, keyed: bool
) -> None:
    """The services have their targets, zones and limits."""
    service = catalog_of(directory).services_by_name[name]
    specs = service.targets_by_id.values()
    assert service.keyed is keyed
    assert len(specs) == targets
    assert len({spec.zone for spec in specs}) == zones
    assert {(spec.slots, spec.connections) for spec in specs} == {(2, 100)}
    assert not keyed or service.groups == groups


@pytest.mark.parametrize(
    ("directory", "name"),
    [("brno", "desk"), ("west-coast", "nominations"), ("demo", "desk")],
)
def test_each_group_is_fenced(directory: str, name: str) -> None:
    """Symptom: a lost holder's keys wait for the store although targets are well.

    Sequence: a service has so many groups that each has only two targets.
    Cause: groups of fewer than three targets have no majority to confirm a holder.
    """
    service = catalog_of(directory).services_by_name[name]
    smallest_group = len(service.targets_by_id) // service.groups
    assert is_fenced_group(smallest_group, checks_grants=service.checks_grants)


@pytest.mark.parametrize(
    ("directory", "service", "method", "path", "expected"),
    [
        ("brno", "desk", "POST", "/bookings", ("bookings", 0, False)),
        ("brno", "desk", "PUT", "/pauses/7", ("pauses", 0, False)),
        ("brno", "desk", "GET", "/bookings/7", ("lookups", 1, True)),
        ("brno", "desk", "GET", "/bundle/10", ("downloads", 2, True)),
        (
            "west-coast",
            "nominations",
            "POST",
            "/submissions",
            ("submissions", 0, False),
        ),
        ("west-coast", "nominations", "GET", "/files/7", ("lookups", 1, True)),
        ("west-coast", "vault", "GET", "/bundle/10", ("downloads", 2, True)),
        ("demo", "desk", "POST", "/bookings", ("bookings", 0, False)),
    ],
)
def test_classes(
    directory: str,
    service: str,
    method: str,
    path: str,
    expected: tuple[str, int, bool],
) -> None:
    """Work that must not repeat goes first, downloads last."""
    catalog = catalog_of(directory)
    profile = catalog.profile_of(catalog.services_by_name[service])
    found = catalog.request_class(profile, method, path)
    assert (found.name, found.priority, found.repeatable) == expected


def test_weights_follow_what_each_user_measures() -> None:
    """Unavailable time weighs most in Brno, churn on the west coast."""
    brno = catalog_of("brno").profiles_by_name["desk"].weights
    west = catalog_of("west-coast").profiles_by_name["nominations"].weights
    assert brno.unavailable > max(brno.churn, brno.imbalance)
    assert west.churn > max(west.unavailable, west.imbalance)
