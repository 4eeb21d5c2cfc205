"""Reasons for which a step of serving a request failed."""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class StepFailure(StrEnum):
    """Reason for a failed step; the request may still be served afterwards.

    The result code tells the caller how a request ended. These values explain why, and
    are the values of the metric label `reason`.
    """

    NO_KEY = "no_key"
    ON_THE_MOVE = "on_the_move"
    OWNER_AWAY = "owner_away"
    MOVED = "moved"
    NO_SLOT = "no_slot"
    RATE_LIMITED = "rate_limited"
    SUSPECTED = "suspected"
    BACKOFF = "backoff"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    REPLACED = "replaced"
    BROKEN = "broken"
    LINK_LOST = "link_lost"
    TARGET_FAILED = "target_failed"
    BUDGET_SPENT = "budget_spent"
    TIME_OVER = "time_over"
    GIVEN_UP = "given_up"


MEANING_BY_STEP_FAILURE: Final = {
    StepFailure.NO_KEY: "the service is divided by key and the request has no key",
    StepFailure.ON_THE_MOVE: "the key had no owner for as long as the request waited",
    StepFailure.OWNER_AWAY: "the key's owner is leaving or does not hold the key",
    StepFailure.MOVED: "the key got a new owner while the request waited for a slot",
    StepFailure.NO_SLOT: "no target had a free slot in time",
    StepFailure.RATE_LIMITED: "the rate limit of the target allowed no request in time",
    StepFailure.SUSPECTED: "targets may have ended under it, so no other may get it",
    StepFailure.BACKOFF: "the target had asked this instance not to call it for now",
    StepFailure.NOT_SENT: "no connection to the target, or too little time to send",
    StepFailure.REFUSED: "the target stated that it did not run the request",
    StepFailure.REPLACED: "another instance of the service answered at the address",
    StepFailure.BROKEN: "the request was sent, but no complete, signed answer came",
    StepFailure.LINK_LOST: "the own link was lost while a target had the request",
    StepFailure.TARGET_FAILED: "the target answered 5xx and the request was sent again",
    StepFailure.BUDGET_SPENT: "the service's retry budget was spent",
    StepFailure.TIME_OVER: "the request's deadline passed while it was not at a target",
    StepFailure.GIVEN_UP: "timeout, or the caller left, while a target had the request",
}
"""Description of each reason, for the generated metrics page."""
