"""What became of one request, for the decision log and the metrics."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.ownership.route import Route
from swiftpin.result import Executed, ResultCode


@dataclass(kw_only=True, slots=True)
class RequestRecord:
    """Facts gathered while a request is served.

    `started_at` is monotonic, in seconds. `incoming` and `route` stay None for a
    request that failed before they were known. `result` is the code as it was
    sent, which for a forwarded request is that of the holder. `target` is set instead
    of `route` for services without owners. `looked_up` tells whether the records of
    earlier attempts were asked; until then nobody knows whether a request that is
    not repeatable ran before. `may_have_run` is set once an attempt ended without it
    being certain that it was not run.
    """

    request_id: str
    started_at: float
    forwarded: bool
    incoming: IncomingRequest | None = None
    route: Route | None = None
    target: str | None = None
    looked_up: bool = False
    may_have_run: bool = False
    attempts: int = 0
    status: int = 0
    result: int = ResultCode.INTERNAL.value
    executed: Executed = Executed.UNKNOWN
    hint: str = ""
