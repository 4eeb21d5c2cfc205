"""What the checker judges."""

from __future__ import annotations

from enum import StrEnum


class Judgement(StrEnum):
    """Promises that a trace can show broken."""

    SINGLE_OWNER = "single_owner"
    AT_MOST_ONCE = "at_most_once"
    NOT_RUN = "not_run"
    WHOLE_ANSWERS = "whole_answers"
    ASSIGNMENTS = "assignments"
    OWNED_EXECUTIONS = "owned_executions"
