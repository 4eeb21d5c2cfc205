"""Outcome of a send of a request to a target."""

from __future__ import annotations

from enum import Enum, auto


class SendOutcome(Enum):
    """What became of a request at its target."""

    NOT_RUN = auto()
    """It was not sent, or the target stated that it did not run it."""

    BEGUN = auto()
    """The target has begun to answer; the rest of the answer may still break off."""

    ANSWERED = auto()
    """The target ran it and answered completely, signed and without a server error."""

    FAILED = auto()
    """The target answered completely, but may not have begun to run it."""

    UNANSWERED = auto()
    """It was sent and no complete answer came."""
