"""Rules about a declaration and what the store has already."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from swiftpin.config.config_object import ConfigObject
from swiftpin.config.field_problem import FieldProblem
from swiftpin.config.models.declaration_models import Declaration, ServiceModel
from swiftpin.config.suggestion import did_you_mean

DEFAULT_PROFILE_NAME: Final = "default"
FIXED_FIELDS: Final[tuple[str, ...]] = ("keyed", "slices", "groups")
FIXED_IN_FORCE_FIELDS: Final = ("checks_grants",)


def unknown_profile(
    model: Declaration, profile_names: Iterable[str]
) -> list[FieldProblem]:
    """Return a problem when a service names a profile that would not be in force."""
    if not isinstance(model, ServiceModel):
        return []
    known = {*profile_names, DEFAULT_PROFILE_NAME}
    profile = model.spec.profile
    if profile in known:
        return []
    hint = did_you_mean(profile, sorted(known))
    message = f"no profile {profile} would be in force{hint}"
    return [FieldProblem(path=("spec", "profile"), message=message)]


def forbidden_changes(
    model: Declaration, before: ConfigObject | None
) -> list[FieldProblem]:
    """Return a problem for each field that must stay as it was.

    Slices, groups and their owners are numbered by these fields, and instances adopt
    a change at different moments: for a while two of them would place one key on
    different targets, which one would notice as two owners of a key. A retired
    service keeps its records, so the fields stay fixed when it comes back.
    """
    if before is None or not isinstance(model, ServiceModel):
        return []
    fields = FIXED_FIELDS
    if not before.retired:
        fields = FIXED_FIELDS + FIXED_IN_FORCE_FIELDS
    spec_before = before.document.get("spec", {})
    return [
        problem
        for field in fields
        for problem in _changed(model, field, spec_before.get(field))
    ]


def _changed(model: ServiceModel, field: str, before: object) -> list[FieldProblem]:
    """Return a problem when the field differs from what it was."""
    after = getattr(model.spec, field)
    if before is None or after == before:
        return []
    way = (
        "retire the service first"
        if field in FIXED_IN_FORCE_FIELDS
        else "declare a service of another name"
    )
    message = f"cannot change from {before} to {after}; {way}"
    return [FieldProblem(path=("spec", field), message=message)]
