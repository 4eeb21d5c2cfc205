"""Scopes of the models of fenced groups."""

from __future__ import annotations

from typing import Final

from spec.fenced.lease_kind import LeaseKind
from spec.fenced.scope import Scope
from spec.fenced.target import OWNER, THIRD

CORE: Final = Scope(leases=(LeaseKind.FIRST, LeaseKind.STORED), moves=(1, 1))
OUTAGE: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.RESERVED), moves=(1, 1), late=1
)
OUTAGE_ENDS: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.RESERVED, LeaseKind.RENEWED),
    moves=(0, 1, 0),
)
RENEWAL: Final = Scope(leases=(LeaseKind.FIRST, LeaseKind.RENEWED), moves=(1, 1))
PLANNED: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.STORED),
    moves=(1, 0),
    late=1,
    planned=True,
)
THIRD_RESTARTS: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.RESERVED), moves=(1, 1), restarts=THIRD
)
OWNER_RESTARTS: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.RESERVED), moves=(1, 1), restarts=OWNER
)
OWNER_NAMED: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.STORED), moves=(1, 1), restarts=OWNER
)
NAMED_THEN_STORED: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.RENEWED, LeaseKind.STORED),
    moves=(0, 0, 0),
    restarts=OWNER,
)
NAMED_THEN_RESERVED: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.RENEWED, LeaseKind.RESERVED),
    moves=(0, 0, 0),
    restarts=OWNER,
)
NAMED_THEN_RENEWED: Final = Scope(
    leases=(LeaseKind.FIRST, LeaseKind.RENEWED, LeaseKind.RENEWED),
    moves=(0, 0, 1),
    restarts=OWNER,
)
