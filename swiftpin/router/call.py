"""One request while it is served."""

from __future__ import annotations

from dataclasses import dataclass, field

from aiohttp.web import BaseRequest

from swiftpin.core import callback
from swiftpin.gateway.request_body import RequestBody
from swiftpin.model.route import Route
from swiftpin.platform.request_head import RequestHead
from swiftpin.router.decision_basis import DecisionBasis
from swiftpin.router.step_failure import StepFailure


@dataclass(kw_only=True, slots=True)
class Call:
    """What the steps of serving a request share; times on the event loop's clock."""

    request: BaseRequest
    head: RequestHead
    route: Route
    service: str
    body: RequestBody
    started_at: float
    ends_at: float
    """When the caller gets a final answer, whatever happens."""

    sends: int = 0
    is_at_target: bool = False
    """Whether a target has the request now."""

    is_retry_reserved: bool = False
    """Whether the service's budget keeps a retry for the request."""

    may_have_run: bool = False
    """Whether a target got the request and did not say that it did not run it."""

    target: str = ""
    failed_target: str = ""
    """Target at which the last send failed."""

    notes: list[str] = field(default_factory=list)
    """What went wrong on the way, in words, for the log line."""

    step_failures: list[StepFailure] = field(default_factory=list)
    """The same as reasons, for the counters."""

    basis: DecisionBasis | None = None
    """What the last send was decided by, None while nothing is sent."""

    status: int = 0
    configuration: int = 0
    waited: float = 0.0

    @callback
    def record_failure(self, failure: StepFailure, text: str) -> None:
        """Note a step that failed."""
        self.step_failures.append(failure)
        self.notes.append(text)

    @property
    def objective_at(self) -> float:
        """Return when the answer loses worth."""
        return self.started_at + self.route.objective
