"""Tests of the time for which answers are on their way.

Symptom: nearly all downloads that were served came 0.1 to 0.2 s after their objective.

Sequence: their targets have hardly a slot too many, so each waits in a line; a line
serves whoever can still meet its objective, the nearest one first. Cause: an answer
counted as there when it began, though its body takes as long again as the work.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from swiftpin.model.request_kind import RequestKind
from swiftpin.model.route import Route, WeightedService
from swiftpin.permits.permit_query import PermitQuery
from swiftpin.router.call import Call
from swiftpin.router.request_sender import RequestSender
from swiftpin.router.transfer_times import LINK_PASSES, TransferTimes
from tests.router.test_retry_policy import BOUNDS

ROUTE = Route(
    name="pull",
    host="h",
    prefix="/",
    kind=RequestKind.IDEMPOTENT,
    timeout=4.0,
    objective=1.0,
    priority=2,
    max_attempts=2,
    weighted_services=(WeightedService(service="vault", weight=1.0),),
)


class RecordingPermits:
    """Takes queries for permits and grants none."""

    def __init__(self) -> None:
        self.queries: list[PermitQuery] = []

    async def async_ask(self, query: PermitQuery) -> None:
        """Note a query."""
        self.queries.append(query)


def make_call() -> Call:
    """Return a call that came at second 10."""
    nothing: Any = None
    return Call(
        request=nothing,
        head=nothing,
        route=ROUTE,
        service="vault",
        body=nothing,
        started_at=10.0,
        ends_at=14.0,
    )


async def test_long_answers_need_their_slot_earlier() -> None:
    """The queue is told until when the answer has to begin, not to end."""
    permits = RecordingPermits()
    parts: Any = SimpleNamespace()
    sender = RequestSender(
        client=parts,
        configuration=parts,
        directory=parts,
        maps=parts,
        permits=cast(Any, permits),
        bounds=BOUNDS,
        poison=parts,
        fleet_size=parts,
    )
    await sender._async_permit(make_call(), "")
    sender.transfer_times.record("vault", RequestKind.IDEMPOTENT, 0.1)
    await sender._async_permit(make_call(), "")
    before, after = (query.objective_at for query in permits.queries)
    assert before == 11.0
    assert after == pytest.approx(11.0 - LINK_PASSES * 0.1)


def test_services_and_kinds_have_separate_estimates() -> None:
    """Short answers of another service need no more time for it."""
    way = TransferTimes()
    way.record("vault", RequestKind.IDEMPOTENT, 0.1)
    assert way.estimate("desk", RequestKind.IDEMPOTENT) == 0.0
    assert way.estimate("vault", RequestKind.ONCE) == 0.0


def test_estimate_follows_recent_answers() -> None:
    """A link that became free again counts as such after some answers."""
    way = TransferTimes()
    way.record("vault", RequestKind.IDEMPOTENT, 0.4)
    for _ in range(40):
        way.record("vault", RequestKind.IDEMPOTENT, 0.01)
    assert way.estimate("vault", RequestKind.IDEMPOTENT) < 0.06
