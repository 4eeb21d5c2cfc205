"""Factory of calls for the router's tests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, cast

from swiftpin.model.request_kind import RequestKind
from swiftpin.model.route import Route, WeightedService
from swiftpin.platform.request_head import RequestHead
from swiftpin.router.call import Call

SERVICE = "desk"
NOW = 100.0


@dataclass(kw_only=True)
class FakeBody:
    """Request body; a streamed one can't be sent again."""

    can_be_sent: bool = True


def make_call(
    kind: RequestKind = RequestKind.IDEMPOTENT,
    *,
    now: float = NOW,
    sends: int = 1,
    may_have_run: bool = False,
    attempts: int = 2,
    can_be_sent: bool = True,
) -> Call:
    """Return a call, by default one that was sent once."""
    route = Route(
        name="r",
        host="desk.example",
        prefix="/",
        kind=kind,
        timeout=1.0,
        objective=0.5,
        priority=1,
        max_attempts=attempts,
        weighted_services=(WeightedService(service=SERVICE, weight=1.0),),
    )
    return Call(
        request=cast("Any", None),
        head=RequestHead(id="q1", deadline=1.0, key=None),
        route=route,
        service=SERVICE,
        body=cast("Any", FakeBody(can_be_sent=can_be_sent)),
        started_at=now,
        ends_at=now + 1.0,
        sends=sends,
        may_have_run=may_have_run,
    )
