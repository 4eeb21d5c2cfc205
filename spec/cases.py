"""The models that `python -m spec` checks."""

from __future__ import annotations

from spec.cooperative.model import cooperative_group
from spec.cooperative.weakness import CooperativeWeakness
from spec.fenced.model import fenced_group
from spec.fenced.scope import Scope
from spec.fenced.scopes import (
    CORE,
    NAMED_THEN_RENEWED,
    NAMED_THEN_RESERVED,
    NAMED_THEN_STORED,
    OUTAGE,
    OUTAGE_ENDS,
    OWNER_NAMED,
    OWNER_RESTARTS,
    PLANNED,
    RENEWAL,
    THIRD_RESTARTS,
)
from spec.fenced.weakness import Weakness
from spec.issuers.model import issuer_authority
from spec.issuers.weakness import IssuerWeakness
from spec.model_case import ModelCase
from spec.ranges.model import key_range
from spec.ranges.weakness import RangeWeakness
from spec.shares.model import shared_limit
from spec.shares.weakness import ShareWeakness
from spec.wide.model import wide_group
from spec.wide.weakness import WideWeakness
from spec.zones.cold import cold_permits
from spec.zones.evacuation import evacuated_zone
from spec.zones.weakness import ColdWeakness, EvacuationWeakness


def all_cases() -> list[ModelCase]:
    """Return every model with all rules in place."""
    return [
        _fenced("core", CORE, "takeover by the store, move of a lost target"),
        _fenced("outage", OUTAGE, "takeover without the store, late grants"),
        _fenced("outage ends", OUTAGE_ENDS, "the successor saves its takeover"),
        _fenced("renewal", RENEWAL, "the holder's own next lease"),
        _fenced("planned", PLANNED, "planned move, lost answers, late grants"),
        _fenced("third restarts", THIRD_RESTARTS, "M forgets its fence"),
        _fenced("owner restarts", OWNER_RESTARTS, "T forgets fence and grants"),
        _fenced("owner named", OWNER_NAMED, "a takeover names T's new start"),
        _fenced("named, store", NAMED_THEN_STORED, "then another by the store"),
        _fenced("named, outage", NAMED_THEN_RESERVED, "then N without the store"),
        _fenced("named twice", NAMED_THEN_RENEWED, "then the holder's own next lease"),
        ModelCase(
            protocol=wide_group("wide", WideWeakness()),
            covers="five targets, takeover without the store, loss moves",
        ),
        ModelCase(
            protocol=cooperative_group("cooperative", CooperativeWeakness()),
            covers="four instances, up to three leases, no target checks grants",
        ),
        ModelCase(
            protocol=key_range("ranges", RangeWeakness()),
            covers="lease, votes, pause, late grants, T restarts, a restored store",
        ),
        ModelCase(
            protocol=cold_permits("cold permits", ColdWeakness()),
            covers="three separated issuers, each may restart at any time",
        ),
        ModelCase(
            protocol=evacuated_zone("evacuated zone", EvacuationWeakness()),
            covers="late updates from store and neighbour, a restored store",
        ),
        ModelCase(
            protocol=shared_limit("shares", ShareWeakness()),
            covers="three processes, each may restart or be cut off at any time",
        ),
        ModelCase(
            protocol=issuer_authority("issuers", IssuerWeakness(), 1),
            covers="three instances, late and missed lists, new holders, restarts",
        ),
    ]


def _fenced(name: str, scope: Scope, covers: str) -> ModelCase:
    """Return a model of a fenced group."""
    protocol = fenced_group(name, scope, Weakness())
    return ModelCase(protocol=protocol, covers=covers)
