"""What the request path of an instance asks for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.core import callback


@callback
def _always() -> bool:
    """Return True."""
    return True


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitQuery:
    """Need of one request for a slot; times on this instance's event loop's clock."""

    service: str
    target: str
    """Owner of the key; empty where any target of the service will do."""

    avoided: str
    """Target to pass over where any will do, since it failed the request before."""

    priority: int
    objective_at: float
    """When the answer loses worth."""

    ends_at: float
    """When the answer has no use any more."""

    is_current: Callable[[], bool] = _always
    """Whether the target still owns the key."""
