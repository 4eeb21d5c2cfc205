"""Tests of the estimated transfer time of answers.

Failure: nearly all downloads were 0.1 to 0.2 s later than their objective. Their
targets have hardly any spare slots, so each request queues, and the queue serves those
first that can still just meet their objective. An answer counted as delivered when it
started, although the transfer of its body takes as long as the work.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from swiftpin.model.request_kind import RequestKind
from swiftpin.model.route import Route, WeightedService
from swiftpin.notices.target_backoffs import TargetBackoffs
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
    """Records permit queries and grants none."""

    def __init__(self) -> None:
        self.queries: list[PermitQuery] = []

    async def async_request_permit(self, query: PermitQuery) -> None:
        """Record a query."""
        self.queries.append(query)


def make_call() -> Call:
    """Return a call that arrived at second 10."""
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
    """The queue needs the time by which the answer has to start, not to end."""
    permits = RecordingPermits()
    parts: Any = SimpleNamespace()
    sender = RequestSender(
        ways=parts,
        configuration=parts,
        directory=parts,
        maps=parts,
        permits=cast(Any, permits),
        bounds=BOUNDS,
        suspects=parts,
        open_sends=parts,
        on_refused=parts,
        fleet_size=parts,
        links=parts,
        backoffs=TargetBackoffs(),
        may_move_keys=lambda: True,
        cutoff=parts,
    )
    await sender._async_permit(make_call(), "")
    sender.transfer_times.record("vault", RequestKind.IDEMPOTENT, 0.1)
    await sender._async_permit(make_call(), "")
    before, after = (query.objective_at for query in permits.queries)
    assert before == 11.0
    assert after == pytest.approx(11.0 - LINK_PASSES * 0.1)


def test_services_and_kinds_have_separate_estimates() -> None:
    """Long answers of one service don't raise the estimate of another."""
    way = TransferTimes()
    way.record("vault", RequestKind.IDEMPOTENT, 0.1)
    assert way.estimate("desk", RequestKind.IDEMPOTENT) == 0.0
    assert way.estimate("vault", RequestKind.ONCE) == 0.0


def test_estimate_follows_recent_answers() -> None:
    """The estimate falls within some answers after a link became free again."""
    way = TransferTimes()
    way.record("vault", RequestKind.IDEMPOTENT, 0.4)
    for _ in range(40):
        way.record("vault", RequestKind.IDEMPOTENT, 0.01)
    assert way.estimate("vault", RequestKind.IDEMPOTENT) < 0.06
