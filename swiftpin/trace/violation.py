"""Union of the violations that the checker finds."""

from __future__ import annotations

from swiftpin.trace.assignment_lost import AssignmentLost
from swiftpin.trace.concurrent_executions import ConcurrentExecutions
from swiftpin.trace.cut_answer import CutAnswer
from swiftpin.trace.executed_again import ExecutedAgain
from swiftpin.trace.executed_despite_no import ExecutedDespiteNo
from swiftpin.trace.not_owned_execution import NotOwnedExecution
from swiftpin.trace.two_owners import TwoOwners
from swiftpin.trace.wrong_answer import WrongAnswer

Violation = (
    TwoOwners
    | ConcurrentExecutions
    | ExecutedAgain
    | ExecutedDespiteNo
    | WrongAnswer
    | CutAnswer
    | AssignmentLost
    | NotOwnedExecution
)
