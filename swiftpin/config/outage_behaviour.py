"""What happens to work that must not repeat while the store is away."""

from __future__ import annotations

from enum import StrEnum


class OutageBehaviour(StrEnum):
    """Refuse such requests, or run them under a ticket bound to the holder's term."""

    REFUSE = "refuse"
    TICKET = "ticket"
