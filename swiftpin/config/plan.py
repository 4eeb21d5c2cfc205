"""Planning of changes from declarations and what the store has."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, Final

from swiftpin.config.change_kind import ChangeKind
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.declaration_problem import DeclarationProblem
from swiftpin.config.declarations_error import DeclarationsError
from swiftpin.config.declared import Declared
from swiftpin.config.document import document_of
from swiftpin.config.field_problem import FieldProblem
from swiftpin.config.inventory import Inventory
from swiftpin.config.parse import parse_document
from swiftpin.config.planned_change import PlannedChange
from swiftpin.config.rules import forbidden_changes, unknown_profile
from swiftpin.config.stored_config import StoredConfig
from swiftpin.exceptions import ConfigurationError

APPLY_ORDER: Final = (ConfigKind.PROFILE, ConfigKind.SERVICE, ConfigKind.PLANNED_STOP)
PRUNED_KINDS: Final = (ConfigKind.SERVICE, ConfigKind.PROFILE)
"""Planned stops are orders of operators, not contents of files, so none is pruned."""


def plan_apply(
    declared: Sequence[Declared], inventory: Inventory, *, prune: bool = False
) -> list[PlannedChange]:
    """Return the changes in the order to make them, unchanged ones included.

    Profiles come before the services that name them, and go after them. Raises
    `DeclarationsError` with all mistakes.
    """
    check_against_store(declared, inventory, prune=prune)
    ordered = sorted(
        declared, key=lambda item: (APPLY_ORDER.index(item.id.kind), item.id.name)
    )
    changes = [
        plan_document(item.id, item.document, inventory.stored_by_id.get(item.id))
        for item in ordered
    ]
    if prune:
        changes += _pruned({item.id for item in declared}, inventory)
    return changes


def check_against_store(
    declared: Sequence[Declared], inventory: Inventory, *, prune: bool = False
) -> None:
    """Raise `DeclarationsError` when declarations do not fit what the store has.

    With `prune` the store's profiles do not count, as they are about to go.
    """
    profile_names = [
        item.id.name for item in declared if item.id.kind is ConfigKind.PROFILE
    ]
    if not prune:
        profile_names += inventory.names(ConfigKind.PROFILE)
    problems: list[DeclarationProblem] = []
    for item in declared:
        found = _problems(item, inventory, profile_names)
        problems.extend(item.located(problem) for problem in found)
    if problems:
        raise DeclarationsError(problems)


def _problems(
    item: Declared, inventory: Inventory, profile_names: Iterable[str]
) -> list[FieldProblem]:
    """Return what keeps one declaration from being applied."""
    fault = inventory.faults_by_id.get(item.id)
    if fault is not None:
        return [FieldProblem(path=("metadata", "name"), message=fault)]
    stored = inventory.stored_by_id.get(item.id)
    before = None if stored is None else stored.change
    return unknown_profile(item.model, profile_names) + forbidden_changes(
        item.model, before
    )


def plan_document(
    config_name: ConfigName, document: dict[str, Any], before: StoredConfig | None
) -> PlannedChange:
    """Return the change that puts the document in force."""
    if before is None or before.change.retired:
        kind = ChangeKind.CREATE
    elif shown_document(before) == document:
        kind = ChangeKind.UNCHANGED
    else:
        kind = ChangeKind.UPDATE
    return PlannedChange(id=config_name, kind=kind, before=before, document=document)


def plan_retirement(before: StoredConfig) -> PlannedChange:
    """Return the change that takes a declaration out of force."""
    retired = before.change.retired
    return PlannedChange(
        id=before.change.id,
        kind=ChangeKind.UNCHANGED if retired else ChangeKind.RETIRE,
        before=before,
        document=before.change.document,
    )


def shown_document(stored: StoredConfig) -> dict[str, Any]:
    """Return the document in the order of its fields, as it is if it is broken."""
    try:
        model = parse_document(stored.change.id, stored.change.document)
    except ConfigurationError:
        return stored.change.document
    return document_of(model)


def _pruned(kept: set[ConfigName], inventory: Inventory) -> list[PlannedChange]:
    """Return retirements of what no file declares."""
    return [
        plan_retirement(stored)
        for kind in PRUNED_KINDS
        for stored in inventory.in_force(kind)
        if stored.change.id not in kept
    ]
