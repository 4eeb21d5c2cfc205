"""Permit query of the request path."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.core import callback


@callback
def _always() -> bool:
    """Return True, for queries without an ownership check."""
    return True


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitQuery:
    """Permit needed for one request; times are on this instance's event loop clock."""

    service: str
    target: str
    """Owner of the key; empty if any target of the service is eligible."""

    avoided: str
    """Target that failed the request before; used only if no other one is available."""

    priority: int
    objective_at: float
    """Time by which the caller should have the answer."""

    ends_at: float
    """Time after which the answer is useless."""

    is_current: Callable[[], bool] = _always
    """Returns whether the request may still go to the target."""

    fingerprint: int = 0
    """The same for all copies of the request, 0 if it is not known."""

    excluded: frozenset[str] = frozenset()
    """Targets that this instance must not call at present."""

    caller: int = 0
    """Hash of the caller's address, 0 if it is not known."""

    key: int | None = None
    """Key of a request for the owner of its key."""
