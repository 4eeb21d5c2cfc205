"""Reasons why a step of serving a request failed."""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class StepFailure(StrEnum):
    """What went wrong in one step; a request may go on after it and be served.

    The result tells the caller how the request ended; these tell why, and are the
    values of the label `reason`.
    """

    NO_KEY = "no_key"
    ON_THE_MOVE = "on_the_move"
    OWNER_AWAY = "owner_away"
    MOVED = "moved"
    NO_SLOT = "no_slot"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    REPLACED = "replaced"
    BROKEN = "broken"
    TARGET_FAILED = "target_failed"
    BUDGET_SPENT = "budget_spent"
    TIME_OVER = "time_over"
    GIVEN_UP = "given_up"


MEANING_BY_STEP_FAILURE: Final = {
    StepFailure.NO_KEY: "the service is divided by key and the request names none",
    StepFailure.ON_THE_MOVE: "the key had no owner until the wait for one was over",
    StepFailure.OWNER_AWAY: "the key's owner is leaving, or said that it lacks the key",
    StepFailure.MOVED: "the key got another owner while the request waited for a slot",
    StepFailure.NO_SLOT: "the targets had no room in the time that the request has",
    StepFailure.NOT_SENT: "no connection to the target, or no time left to send",
    StepFailure.REFUSED: "the target said that it did not run the request",
    StepFailure.REPLACED: "another instance of the service answered at the address",
    StepFailure.BROKEN: "the request was written and no whole, signed answer came",
    StepFailure.TARGET_FAILED: "the target answered 5xx and the request was sent again",
    StepFailure.BUDGET_SPENT: "no retry was left in the service's budget",
    StepFailure.TIME_OVER: "the request's time ended while no target had it",
    StepFailure.GIVEN_UP: "time ended or the caller left while a target had it",
}
"""One line for each reason, for the generated page of metrics."""
