"""Tests that the models of a fenced group detect the omission of any rule."""

from __future__ import annotations

from dataclasses import fields
from typing import Final

import pytest

from spec.check import refute
from spec.fenced.model import fenced_group
from spec.fenced.scope import Scope
from spec.fenced.scopes import (
    CORE,
    NAMED_THEN_RENEWED,
    NAMED_THEN_RESERVED,
    NAMED_THEN_STORED,
    OUTAGE,
    OWNER_RESTARTS,
    PLANNED,
    THIRD_RESTARTS,
)
from spec.fenced.weakness import Weakness
from spec.model_case import ModelCase

CASES: Final = [
    (CORE, Weakness(no_recheck=True), "one_owner"),
    (CORE, Weakness(no_term_check=True), "one_owner"),
    (CORE, Weakness(no_wait=True), "one_owner"),
    (CORE, Weakness(serve_at_once=True), "one_owner"),
    (CORE, Weakness(slice_term_kept=True), "slice_terms_grow"),
    (CORE, Weakness(unreported_keeps_term=True), "slice_terms_grow"),
    (OUTAGE, Weakness(stale_majority=True), "one_owner"),
    (OUTAGE, Weakness(report_serves=True), "one_owner"),
    (PLANNED, Weakness(grant_first=True), "one_owner"),
    (PLANNED, Weakness(grant_first=True), "record_first"),
    (PLANNED, Weakness(no_read_back=True), "done_writes_stay"),
    (PLANNED, Weakness(unconditional_write=True), "terms_grow"),
    (PLANNED, Weakness(late_grant_forgotten=True), "one_owner"),
    (PLANNED, Weakness(unanswered_revoke=True), "one_owner"),
    (PLANNED, Weakness(landed_serves=True), "one_owner"),
    (PLANNED, Weakness(stale_majority=True), "one_owner"),
    (THIRD_RESTARTS, Weakness(counted_at_once=True), "one_owner"),
    (THIRD_RESTARTS, Weakness(counted_by_read=True), "one_owner"),
    (OWNER_RESTARTS, Weakness(counted_by_read=True), "one_owner"),
    (NAMED_THEN_RENEWED, Weakness(changed_starts_asked=True), "one_owner"),
    (NAMED_THEN_RENEWED, Weakness(starts_change_forgotten=True), "one_owner"),
    (NAMED_THEN_STORED, Weakness(starts_change_unrecorded=True), "one_owner"),
    (NAMED_THEN_RESERVED, Weakness(starts_change_unrecorded=True), "one_owner"),
]


def weakened(weakness: Weakness) -> str:
    """Return the names of the omitted rules."""
    flags = (item.name for item in fields(weakness))
    return "+".join(name for name in flags if getattr(weakness, name))


@pytest.mark.parametrize(
    ("scope", "weakness", "invariant"),
    [
        pytest.param(*case, id=f"{weakened(case[1])}-{case[2]}-{number}")
        for number, case in enumerate(CASES)
    ],
)
def test_weakening_is_found(scope: Scope, weakness: Weakness, invariant: str) -> None:
    """Without the rule, the model violates the invariant."""
    protocol = fenced_group(weakened(weakness), scope, weakness)

    result = refute(ModelCase(protocol=protocol, covers=""), invariant)

    assert invariant in result.traces_by_invariant


def test_every_weakening_is_tried() -> None:
    """Every weakness flag has a case."""
    tried = {weakened(weakness) for _, weakness, _ in CASES}

    assert tried == {item.name for item in fields(Weakness)}
